package io.quartzgw.store;

/** Which requests go first when the budget is short. */
public enum RequestUrgency {
    /** Renewal of leadership, aborts, ends of jobs, and records that starts wait for. */
    HIGH,
    /** Users' submissions and polls. */
    NORMAL,
    /** Records that nothing waits for; they are never refused. */
    BACKGROUND
}
