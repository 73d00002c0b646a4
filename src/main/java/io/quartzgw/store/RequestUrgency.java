package io.quartzgw.store;

/** The order in which requests are sent when the budget is insufficient. */
public enum RequestUrgency {
    /** Elections and lease operations. They are few, and without a leader most other requests are of little use. */
    ELECTION,
    /** Listings and watches, cancellations, ends of jobs, and records that must be stored before a task starts. */
    HIGH,
    /** Submissions and status queries of users. */
    NORMAL,
    /** Records on which no other operation waits. These writes are never rejected. */
    BACKGROUND
}
