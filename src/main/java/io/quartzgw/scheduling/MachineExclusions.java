package io.quartzgw.scheduling;

import java.util.Set;

/** Jobs whose tasks the machine's agent would refuse. */
public final class MachineExclusions {
    private Set<String> refusedJobs = Set.of();

    /** Jobs of which the agent would currently refuse a task, since it still has an earlier attempt of the task. */
    public Set<String> refusedJobs() {
        return refusedJobs;
    }

    /** Sets the jobs of which the agent would currently refuse a task. */
    public void setRefusedJobs(Set<String> jobs) {
        refusedJobs = jobs;
    }
}
