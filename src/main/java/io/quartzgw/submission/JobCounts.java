package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A page of the leader's counts for display: of jobs in a range of names, those that have any.
 *
 * @param after the range begins after this name
 * @param upTo the last name of the range, or null when it has no end
 */
public record JobCounts(String after, String upTo, Map<String, TaskCounts> jobs) {

    /** How many of a job's tasks are done and running. */
    public record TaskCounts(int done, int running) {
        static final TaskCounts NONE = new TaskCounts(0, 0);
    }

    /** Reads one page of counts from a message between controllers. */
    public static JobCounts fromJson(JsonNode node) {
        Map<String, TaskCounts> jobs = new HashMap<>();
        node.path("jobs")
                .properties()
                .forEach(entry -> jobs.put(
                        entry.getKey(),
                        new TaskCounts(
                                entry.getValue().path(0).asInt(),
                                entry.getValue().path(1).asInt())));
        return new JobCounts(
                node.path("after").asText(),
                node.hasNonNull("up_to") ? node.path("up_to").asText() : null,
                jobs);
    }

    /** Writes this page for a message between controllers. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object().put("after", after).put("up_to", upTo);
        ObjectNode named = node.putObject("jobs");
        jobs.forEach((id, counts) -> named.putArray(id).add(counts.done()).add(counts.running()));
        return node;
    }

    /** Puts this page in the place of what is known of its range. */
    void mergeInto(TreeMap<String, TaskCounts> known) {
        (upTo == null ? known.tailMap(after, false) : known.subMap(after, false, upTo, true)).clear();
        known.putAll(jobs);
    }
}
