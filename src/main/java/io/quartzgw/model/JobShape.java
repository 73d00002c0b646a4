package io.quartzgw.model;

/** What kind of work a job is. */
public enum JobShape {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,
    /** Tasks that run only together: all start at once, and one that is lost takes the others along. */
    GANG,
    /** Replicas that run until the job is cancelled. */
    SERVICE
}
