package io.quartzgw.cancellation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes and decodes the message fields by which controllers announce cancellations to each other. */
public final class CancellationAnnouncementCodec {
    private static final String JOBS_FIELD = "cancelled";
    private static final String COMPLETE_FIELD = "cancelled_whole";

    private CancellationAnnouncementCodec() {}

    /** Adds an announcement to a message. */
    public static void encode(CancellationAnnouncement announcement, ObjectNode message) {
        ObjectNode jobs = message.putObject(JOBS_FIELD);
        announcement.ageMsByJob().forEach(jobs::put);
        message.put(COMPLETE_FIELD, announcement.complete());
    }

    /** Decodes the announcement of a message. If there is none, the result has no jobs and is incomplete. */
    public static CancellationAnnouncement decode(JsonNode message) {
        Map<String, Long> ageMsByJob = new LinkedHashMap<>();
        message.path(JOBS_FIELD)
                .properties()
                .forEach(
                        entry -> ageMsByJob.put(entry.getKey(), entry.getValue().asLong()));
        return new CancellationAnnouncement(
                ageMsByJob, message.path(COMPLETE_FIELD).asBoolean());
    }
}
