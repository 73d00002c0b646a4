package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.LeaseRenewal;
import io.quartzgw.store.StoreClient;

/** The lease of one term. It is renewed until it expires or is released. */
final class LeaderLease {
    /** Monotonic clocks drift by 0.05%, so a lease is trusted for slightly less than its time to live. */
    private static final double TRUSTED_FRACTION = 0.99;
    /** The remaining fraction of a lease when two renewals in a row are unanswered. */
    private static final double ENDING_FRACTION = 0.35;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final long leaseId;
    private final long trustedMs;
    private final long holdBackUntilMs;
    private final Runnable onExpired;
    private long confirmedAtMs;
    private boolean released;

    /**
     * @param confirmedAtMs a time at which the lease is known to have had its full time to live
     * @param holdBackUntilMs the lease does not count as confirmed before this time, since a deposed leader may still
     *     consider its own lease confirmed
     * @param onExpired called once, when the store reports that the lease has expired
     */
    LeaderLease(
            EventLoop eventLoop,
            StoreClient store,
            LeadershipTiming timing,
            long leaseId,
            long confirmedAtMs,
            long holdBackUntilMs,
            Runnable onExpired) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.leaseId = leaseId;
        this.trustedMs = (long) (timing.leaseMs() * TRUSTED_FRACTION);
        this.confirmedAtMs = confirmedAtMs;
        this.holdBackUntilMs = holdBackUntilMs;
        this.onExpired = onExpired;
    }

    /** Returns whether the lease is known to be valid and no other controller can consider itself confirmed. */
    boolean isConfirmed() {
        return eventLoop.nowMs() >= holdBackUntilMs && eventLoop.nowMs() < confirmedUntilMs();
    }

    /** Returns the time until which the lease is known to be valid without another renewal. */
    long confirmedUntilMs() {
        return confirmedAtMs + trustedMs;
    }

    /** Returns whether several renewals in a row have not succeeded, so that the confirmation expires soon. */
    boolean isConfirmationEnding() {
        return confirmedUntilMs() - eventLoop.nowMs() < ENDING_FRACTION * trustedMs;
    }

    /** Returns when the last successful renewal was requested. */
    long confirmedAtMs() {
        return confirmedAtMs;
    }

    void renew() {
        long requestedAtMs = eventLoop.nowMs();
        store.renewLease(leaseId, renewal -> onRenewal(renewal, requestedAtMs));
    }

    private void onRenewal(LeaseRenewal renewal, long requestedAtMs) {
        if (released) {
            return;
        }
        // An unknown result needs no action: a lease that is not renewed ceases to be confirmed in time.
        if (renewal == LeaseRenewal.RENEWED) {
            confirmedAtMs = Math.max(confirmedAtMs, requestedAtMs);
        } else if (renewal == LeaseRenewal.EXPIRED) {
            onExpired.run();
        }
    }

    /** Revokes the lease, so that another controller can be elected immediately. */
    void release() {
        released = true;
        store.revokeLease(leaseId);
    }
}
