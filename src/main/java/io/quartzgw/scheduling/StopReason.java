package io.quartzgw.scheduling;

/** Why this leader stops a task. The reason is only logged; no decision depends on it. */
public enum StopReason {
    /** A task of higher priority needs its resources. */
    PREEMPTED,
    /** The cloud reclaims the machine before the task can complete there. */
    MACHINE_RECLAIMED,
    /** Another member of its gang was lost, and the gang restarts as a whole. */
    GANG_BROKEN,
    /** Its machine is underutilized and is being drained. */
    CONSOLIDATED,
    /** Its job is terminal: cancelled or completed. */
    JOB_OVER,
    /** The task has completed on another machine. */
    COMPLETED_ELSEWHERE
}
