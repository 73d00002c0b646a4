package io.quartzgw.store;

/** The result of a lease request. */
public sealed interface LeaseGrant {

    /** The lease was granted. */
    record Granted(long leaseId) implements LeaseGrant {}

    /** The state service rejected the request or did not respond. Without a response, an unused lease may exist. */
    record Unavailable() implements LeaseGrant {}
}
