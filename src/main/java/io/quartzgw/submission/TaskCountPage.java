package io.quartzgw.submission;

import java.util.Map;
import java.util.TreeMap;

/**
 * A page of the leader's task counts for display. It covers a range of job IDs, and omits jobs without counts.
 *
 * @param after the ID before the range
 * @param upTo the last ID of the range, or null if the range has no upper bound
 */
public record TaskCountPage(String after, String upTo, Map<String, TaskCounts> countsByJob) {

    /** The numbers of a job's completed and running tasks. */
    public record TaskCounts(int completed, int running) {
        static final TaskCounts NONE = new TaskCounts(0, 0);
    }

    /** Replaces all known counts in this page's range with those of the page. */
    void replaceRangeIn(TreeMap<String, TaskCounts> known) {
        (upTo == null ? known.tailMap(after, false) : known.subMap(after, false, upTo, true)).clear();
        known.putAll(countsByJob);
    }
}
