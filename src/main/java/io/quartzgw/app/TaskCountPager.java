package io.quartzgw.app;

import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.submission.TaskCountPage;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pages the counts of running and completed tasks, since the counts of thousands of jobs exceed one message. */
final class TaskCountPager {
    private final ClusterState cluster;
    /** ID of the last job in the range of the previous page; empty before the first page. */
    private String previousPageEnd = "";

    TaskCountPager(ClusterState cluster) {
        this.cluster = cluster;
    }

    /**
     * Returns the next page of open jobs with running or completed tasks.
     *
     * @param maxJobs the maximum number of jobs on the page
     */
    TaskCountPage nextPage(int maxJobs) {
        String afterJob = previousPageEnd;
        Map<String, TaskCountPage.TaskCounts> page = new LinkedHashMap<>();
        previousPageEnd = "";
        for (Job job : cluster.jobsAfter(afterJob)) {
            int running = job.runningCount();
            if (running > 0 || job.completedCount() > 0) {
                if (page.size() == maxJobs) {
                    return new TaskCountPage(afterJob, previousPageEnd, page);
                }
                page.put(job.id(), new TaskCountPage.TaskCounts(job.completedCount(), running));
            }
            previousPageEnd = job.id();
        }
        previousPageEnd = "";
        return new TaskCountPage(afterJob, null, page);
    }
}
