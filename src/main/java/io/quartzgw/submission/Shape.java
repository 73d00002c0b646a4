package io.quartzgw.submission;

/** What kind of work a job is. */
public enum Shape {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,
    /** Replicas that run until the job is cancelled. */
    SERVICE
}
