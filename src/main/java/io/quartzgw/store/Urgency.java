package io.quartzgw.store;

/** Which requests go first when the budget is short. */
public enum Urgency {
    /** Renewal of leadership, aborts and finishes. */
    FIRST,
    /** Users' submissions and polls, and the leader's records. */
    NORMAL
}
