package io.quartzgw.scheduling;

import java.util.HashSet;
import java.util.Set;

/** What a machine is passed over for: jobs whose tasks its agent would refuse, and failures that may be its own. */
public final class MachineExclusions {
    /** A machine on which this many different jobs failed in a row is quarantined. */
    private static final int QUARANTINE_FAILED_JOBS = 2;

    private final Set<String> failedJobs = new HashSet<>();
    private Set<String> refusedJobs = Set.of();

    /** Jobs of which the agent would refuse a task at present, since it still has a former attempt of the task. */
    public Set<String> refusedJobs() {
        return refusedJobs;
    }

    /** Sets the jobs of which the agent would refuse a task. */
    public void refuseJobs(Set<String> jobs) {
        refusedJobs = jobs;
    }

    /** Records that a task of the job failed on the machine. */
    public void jobFailed(String job) {
        failedJobs.add(job);
    }

    /** Records that a task completed on the machine, which ends a row of failures. */
    public void jobSucceeded() {
        failedJobs.clear();
    }

    /** Whether different jobs failed in a row, so that the machine gets no task of any job. */
    boolean isQuarantined() {
        return failedJobs.size() >= QUARANTINE_FAILED_JOBS;
    }
}
