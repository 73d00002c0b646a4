package io.quartzgw.store;

/** Which requests go first when the budget is short. */
public enum RequestUrgency {
    /** Elections and the end of a leader's lease: few, and without a leader all else is of little use. */
    ELECTION,
    /** Leases, listings and watches, cancellations, ends of jobs, and records that starts wait for. */
    HIGH,
    /** Submissions and polls of users. */
    NORMAL,
    /** Records that nothing waits for; they are never rejected. */
    BACKGROUND
}
