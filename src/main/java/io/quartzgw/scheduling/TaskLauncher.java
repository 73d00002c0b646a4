package io.quartzgw.scheduling;

/** Sends start and stop commands for allocations to the agents of their machines. */
public interface TaskLauncher {
    /** Sends a start command for the allocated task. */
    void start(Allocation allocation);

    /**
     * Sends a stop command for the allocated task.
     *
     * @param graceS how long the task may take to save a checkpoint
     */
    void stop(Allocation allocation, double graceS, StopReason reason);

    /**
     * Whether the task can be started on another machine once it is stopped. This is not possible while a start of it
     * is outstanding on its current machine.
     */
    default boolean isRelocatable(Allocation allocation) {
        return true;
    }
}
