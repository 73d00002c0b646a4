package io.quartzgw.model;

/** How the tasks of a job run. */
public enum JobShape {
    /** Independent batch tasks, each of which runs to completion. */
    ARRAY,
    /** Tasks that run only together: all start at once, and when one is lost, the gang restarts as a whole. */
    GANG,
    /** Replicas that run until the job is cancelled. */
    SERVICE
}
