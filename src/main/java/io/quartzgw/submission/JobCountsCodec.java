package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.HashMap;
import java.util.Map;

/** JSON encoding of a page of task counts in messages between controllers. */
public final class JobCountsCodec {
    private static final String AFTER = "after";
    private static final String UP_TO = "up_to";
    private static final String JOBS = "jobs";

    private JobCountsCodec() {}

    /** Encodes one page. */
    public static ObjectNode encode(JobCounts page) {
        ObjectNode node = Json.object().put(AFTER, page.after()).put(UP_TO, page.upTo());
        ObjectNode jobs = node.putObject(JOBS);
        page.jobs().forEach((id, counts) -> jobs.putArray(id).add(counts.done()).add(counts.running()));
        return node;
    }

    /** Decodes one page. */
    public static JobCounts decode(JsonNode node) {
        Map<String, JobCounts.TaskCounts> jobs = new HashMap<>();
        node.path(JOBS).properties().forEach(entry -> jobs.put(entry.getKey(), decodeCounts(entry.getValue())));
        return new JobCounts(
                node.path(AFTER).asText(),
                node.hasNonNull(UP_TO) ? node.path(UP_TO).asText() : null,
                jobs);
    }

    private static JobCounts.TaskCounts decodeCounts(JsonNode node) {
        return new JobCounts.TaskCounts(node.path(0).asInt(), node.path(1).asInt());
    }
}
