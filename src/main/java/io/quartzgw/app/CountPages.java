package io.quartzgw.app;

import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.submission.JobCounts;
import java.util.LinkedHashMap;
import java.util.Map;

/** Counts of running and done tasks for display, a page each time: thousands of jobs don't fit one message. */
final class CountPages {
    private final Cluster cluster;
    /** The last job of the last page. */
    private String countedTo = "";

    CountPages(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * The next page, of open jobs that have any task running or done.
     *
     * @param most how many jobs it may name
     */
    JobCounts next(int most) {
        String after = countedTo;
        Map<String, JobCounts.Counts> page = new LinkedHashMap<>();
        countedTo = "";
        for (Job job : cluster.jobsAfter(after)) {
            int running = job.runningCount();
            if (running > 0 || job.doneCount() > 0) {
                if (page.size() == most) {
                    return new JobCounts(after, countedTo, page);
                }
                page.put(job.id(), new JobCounts.Counts(job.doneCount(), running));
            }
            countedTo = job.id();
        }
        countedTo = "";
        return new JobCounts(after, null, page);
    }
}
