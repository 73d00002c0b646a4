package io.quartzgw.store;

/** The result of a request for a lease. */
public sealed interface LeaseGrant {

    /** The lease was granted. */
    record Granted(long leaseId) implements LeaseGrant {}

    /** The store refused or did not answer; without an answer a lease may exist that nobody uses. */
    record Unavailable() implements LeaseGrant {}
}
