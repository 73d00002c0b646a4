package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.LeaseRenewal;
import io.quartzgw.store.StoreClient;

/** The lease of one term: renewed until it expires or is released. */
final class LeaderLease {
    /** Steady clocks drift by 0.05%, so a lease is trusted for a little less than its time to live. */
    private static final double TRUSTED_FRACTION = 0.99;
    /** The fraction of a lease that is left when two of its renewals have not been answered. */
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
     * @param confirmedAtMs a moment at which the lease surely had its full time to live
     * @param holdBackUntilMs before that moment the lease does not count as confirmed, since a leader that was deposed
     *     may still count its own so
     * @param onExpired called once if the store reports that the lease has expired
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

    /** Whether the lease surely has not expired, and no other controller can count itself as the confirmed leader. */
    boolean isConfirmed() {
        return eventLoop.nowMs() >= holdBackUntilMs && eventLoop.nowMs() < confirmedUntilMs();
    }

    /** Until when the lease surely has not expired, unless it is renewed. */
    long confirmedUntilMs() {
        return confirmedAtMs + trustedMs;
    }

    /** Whether several renewals in a row have not succeeded, so that little time is left. */
    boolean isConfirmationEnding() {
        return confirmedUntilMs() - eventLoop.nowMs() < ENDING_FRACTION * trustedMs;
    }

    /** When the last successful renewal was requested. */
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
        // An unknown result changes nothing: without a renewal the lease loses its confirmation in time.
        if (renewal == LeaseRenewal.RENEWED) {
            confirmedAtMs = Math.max(confirmedAtMs, requestedAtMs);
        } else if (renewal == LeaseRenewal.EXPIRED) {
            onExpired.run();
        }
    }

    /** Ends the lease, so that other controllers can be elected at once. */
    void release() {
        released = true;
        store.revokeLease(leaseId);
    }
}
