package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.HashMap;
import java.util.Map;

/** JSON encoding of a page of task counts in messages between controllers. */
public final class TaskCountPageCodec {
    private static final String AFTER = "after";
    private static final String UP_TO = "up_to";
    private static final String JOBS = "jobs";

    private TaskCountPageCodec() {}

    /** Encodes one page. */
    public static ObjectNode encode(TaskCountPage page) {
        ObjectNode node = Json.object().put(AFTER, page.after()).put(UP_TO, page.upTo());
        ObjectNode jobs = node.putObject(JOBS);
        page.countsByJob()
                .forEach((id, counts) ->
                        jobs.putArray(id).add(counts.completed()).add(counts.running()));
        return node;
    }

    /** Decodes one page. */
    public static TaskCountPage decode(JsonNode node) {
        Map<String, TaskCountPage.TaskCounts> jobs = new HashMap<>();
        node.path(JOBS).properties().forEach(entry -> jobs.put(entry.getKey(), decodeCounts(entry.getValue())));
        return new TaskCountPage(
                node.path(AFTER).asText(),
                node.hasNonNull(UP_TO) ? node.path(UP_TO).asText() : null,
                jobs);
    }

    private static TaskCountPage.TaskCounts decodeCounts(JsonNode node) {
        return new TaskCountPage.TaskCounts(node.path(0).asInt(), node.path(1).asInt());
    }
}
