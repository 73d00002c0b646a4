package io.quartzgw.scheduling;

import java.util.Set;

/** Why a machine is not used for some or all jobs. */
public final class MachineExclusions {
    private final MachineQuarantine quarantine;
    private Set<String> refusedJobs = Set.of();

    MachineExclusions(String machineId) {
        this.quarantine = new MachineQuarantine(machineId);
    }

    /** The failures of tasks on the machine, and whether tasks are kept away from it for them. */
    public MachineQuarantine quarantine() {
        return quarantine;
    }

    /** Jobs of which the agent would currently refuse a task, since it still has an earlier attempt of the task. */
    public Set<String> refusedJobs() {
        return refusedJobs;
    }

    /** Sets the jobs of which the agent would currently refuse a task. */
    public void setRefusedJobs(Set<String> jobs) {
        refusedJobs = jobs;
    }
}
