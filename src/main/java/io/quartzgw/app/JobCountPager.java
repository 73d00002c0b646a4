package io.quartzgw.app;

import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.submission.JobCounts;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pages the counts of running and done tasks for display: thousands of jobs exceed one message. */
final class JobCountPager {
    private final ClusterState cluster;
    /** The last job of the last page. */
    private String lastPagedJob = "";

    JobCountPager(ClusterState cluster) {
        this.cluster = cluster;
    }

    /**
     * The next page, of open jobs that have any task running or done.
     *
     * @param maxJobs how many jobs it may name
     */
    JobCounts next(int maxJobs) {
        String afterJob = lastPagedJob;
        Map<String, JobCounts.TaskCounts> page = new LinkedHashMap<>();
        lastPagedJob = "";
        for (Job job : cluster.jobsAfter(afterJob)) {
            int running = job.runningCount();
            if (running > 0 || job.doneCount() > 0) {
                if (page.size() == maxJobs) {
                    return new JobCounts(afterJob, lastPagedJob, page);
                }
                page.put(job.id(), new JobCounts.TaskCounts(job.doneCount(), running));
            }
            lastPagedJob = job.id();
        }
        lastPagedJob = "";
        return new JobCounts(afterJob, null, page);
    }
}
