package io.quartzgw.app;

import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.submission.TaskCountPage;
import java.util.LinkedHashMap;
import java.util.Map;

/** Pages the counts of running and done tasks for display: thousands of jobs exceed one message. */
final class TaskCountPager {
    private final ClusterState cluster;
    /** The last job of the last page. */
    private String previousPageEnd = "";

    TaskCountPager(ClusterState cluster) {
        this.cluster = cluster;
    }

    /**
     * The next page, of open jobs that have any task running or done.
     *
     * @param maxJobs how many jobs it may name
     */
    TaskCountPage nextPage(int maxJobs) {
        String afterJob = previousPageEnd;
        Map<String, TaskCountPage.TaskCounts> page = new LinkedHashMap<>();
        previousPageEnd = "";
        for (Job job : cluster.jobsAfter(afterJob)) {
            int running = job.runningCount();
            if (running > 0 || job.doneCount() > 0) {
                if (page.size() == maxJobs) {
                    return new TaskCountPage(afterJob, previousPageEnd, page);
                }
                page.put(job.id(), new TaskCountPage.TaskCounts(job.doneCount(), running));
            }
            previousPageEnd = job.id();
        }
        previousPageEnd = "";
        return new TaskCountPage(afterJob, null, page);
    }
}
