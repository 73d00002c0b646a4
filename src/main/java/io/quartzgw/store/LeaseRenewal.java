package io.quartzgw.store;

/** The result of a lease renewal. */
public enum LeaseRenewal {
    /** The lease was renewed for its full time to live, counted from some time after the request. */
    RENEWED,
    /** The lease no longer exists. */
    EXPIRED,
    /** The state service rejected the request or did not respond. The lease may have been renewed. */
    UNKNOWN
}
