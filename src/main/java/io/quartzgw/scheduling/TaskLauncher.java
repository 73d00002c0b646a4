package io.quartzgw.scheduling;

/** Sends start and stop commands for allocations to the agents of their machines. */
public interface TaskLauncher {
    /** Starts the allocated task. */
    void start(Allocation allocation);

    /**
     * Stops the allocated task.
     *
     * @param graceS how long the task may take to save a checkpoint
     */
    void stop(Allocation allocation, double graceS, StopReason reason);

    /**
     * Whether the task could be started on another machine once it is stopped. It could not while a start of it is
     * outstanding on its present one.
     */
    default boolean isRelocatable(Allocation allocation) {
        return true;
    }
}
