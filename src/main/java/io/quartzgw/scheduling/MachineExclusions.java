package io.quartzgw.scheduling;

import java.util.HashSet;
import java.util.Set;

/** Jobs whose tasks the machine's agent would refuse, and job failures that the machine may have caused. */
public final class MachineExclusions {
    /** A machine is quarantined when this many different jobs have failed on it in a row. */
    private static final int QUARANTINE_FAILED_JOBS = 2;

    private final Set<String> failedJobs = new HashSet<>();
    private Set<String> refusedJobs = Set.of();

    /** Jobs of which the agent would currently refuse a task, since it still has an earlier attempt of the task. */
    public Set<String> refusedJobs() {
        return refusedJobs;
    }

    /** Sets the jobs of which the agent would currently refuse a task. */
    public void setRefusedJobs(Set<String> jobs) {
        refusedJobs = jobs;
    }

    /** Records that a task of the job failed on the machine. */
    public void recordJobFailure(String job) {
        failedJobs.add(job);
    }

    /** Records that a task completed on the machine, which resets the failures in a row. */
    public void recordJobSuccess() {
        failedJobs.clear();
    }

    /** Whether so many different jobs failed in a row that the machine gets no tasks. */
    boolean isQuarantined() {
        return failedJobs.size() >= QUARANTINE_FAILED_JOBS;
    }
}
