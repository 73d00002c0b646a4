package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * A page of the leader's task counts for display: those of the jobs in a range of ids that have any.
 *
 * @param after the range begins after this id
 * @param upTo the last id of the range, or null when it has no end
 */
public record JobCounts(String after, String upTo, Map<String, TaskCounts> jobs) {

    /** How many of a job's tasks are done and running. */
    public record TaskCounts(int done, int running) {
        static final TaskCounts NONE = new TaskCounts(0, 0);
    }

    /** Former name of {@link JobCountsCodec#decode}. */
    public static JobCounts fromJson(JsonNode node) {
        return JobCountsCodec.decode(node);
    }

    /** Former name of {@link JobCountsCodec#encode}. */
    public ObjectNode toJson() {
        return JobCountsCodec.encode(this);
    }

    /** Replaces all counts of this page's range by those of the page. */
    void mergeInto(TreeMap<String, TaskCounts> known) {
        (upTo == null ? known.tailMap(after, false) : known.subMap(after, false, upTo, true)).clear();
        known.putAll(jobs);
    }
}
