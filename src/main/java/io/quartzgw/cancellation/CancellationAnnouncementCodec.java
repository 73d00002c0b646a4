package io.quartzgw.cancellation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Encodes and decodes the fields of a message between controllers that announce cancellations. */
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

    /** The announcement of a message; an incomplete one without jobs if the message has none. */
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
