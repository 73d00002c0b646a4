package io.quartzgw.store;

/** The result of a renewal of a lease. */
public enum LeaseRenewal {
    /** The lease has its full time to live again, from a moment after the request. */
    RENEWED,
    /** The store has no such lease any more. */
    EXPIRED,
    /** The store refused or did not answer: the lease may have been renewed. */
    UNKNOWN
}
