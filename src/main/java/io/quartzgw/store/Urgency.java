package io.quartzgw.store;

/** Which requests go first when the budget is short. */
public enum Urgency {
    /** Renewal of leadership, aborts, ends of jobs, and records that starts wait for. */
    FIRST,
    /** Users' submissions and polls. */
    NORMAL,
    /** Records that nothing waits for; they are never refused. */
    LAST
}
