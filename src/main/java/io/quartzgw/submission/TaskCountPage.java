package io.quartzgw.submission;

import java.util.Map;
import java.util.TreeMap;

/**
 * A page of the leader's task counts for display: those of the jobs in a range of ids that have any.
 *
 * @param after the range begins after this id
 * @param upTo the last id of the range, or null when it has no end
 */
public record TaskCountPage(String after, String upTo, Map<String, TaskCounts> countsByJob) {

    /** How many of a job's tasks are done and running. */
    public record TaskCounts(int completed, int running) {
        static final TaskCounts NONE = new TaskCounts(0, 0);
    }

    /** Replaces all counts of this page's range by those of the page. */
    void replaceRangeIn(TreeMap<String, TaskCounts> known) {
        (upTo == null ? known.tailMap(after, false) : known.subMap(after, false, upTo, true)).clear();
        known.putAll(countsByJob);
    }
}
