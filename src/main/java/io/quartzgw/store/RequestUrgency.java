package io.quartzgw.store;

/** Which requests go first when the budget is short. */
public enum RequestUrgency {
    /** Leases, listings and watches, cancellations, ends of jobs, and records that starts wait for. */
    HIGH,
    /** Submissions and polls of users. */
    NORMAL,
    /** Records that nothing waits for; they are never rejected. */
    BACKGROUND
}
