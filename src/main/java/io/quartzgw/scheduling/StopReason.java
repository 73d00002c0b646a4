package io.quartzgw.scheduling;

/** Why a task is stopped by this leader; it decides nothing, and is logged with every stop. */
public enum StopReason {
    /** Work of higher priority takes its room. */
    PREEMPTED,
    /** The cloud takes the machine away before the task can end there. */
    MACHINE_RECLAIMED,
    /** Another member of its gang was lost: the gang restarts whole. */
    GANG_BROKEN,
    /** Its machine is little used and is cleared. */
    CONSOLIDATED,
    /** Its job is cancelled, or done. */
    JOB_OVER,
    /** The task has completed on another machine. */
    COMPLETED_ELSEWHERE
}
