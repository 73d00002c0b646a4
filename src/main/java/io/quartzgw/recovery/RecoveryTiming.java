package io.quartzgw.recovery;

import io.quartzgw.liveness.AgentTiming;

/**
 * The times of recovery, as ratios to the workers' figures.
 *
 * @param gatherWindowMs how long a new leader gathers reports at the most before it places
 * @param reservationMs how long the room of a silent machine is reserved, from the last report that was answered
 * @param retryMs pause before hard state is read again
 * @param contactMs pause between two rounds in which silent machines are asked
 */
public record RecoveryTiming(long gatherWindowMs, long reservationMs, long retryMs, long contactMs) {
    private static final int WINDOW_HEARTBEATS = 6;
    /** How much longer than the lease: a worker may be slow to notice that its lease has run out. */
    private static final double LEASE_MARGIN = 0.06;

    private static final double RETRY_HEARTBEATS = 0.1;
    private static final double CONTACT_HEARTBEATS = 0.04;

    /** Derives the times from the report interval and the worker lease. */
    public static RecoveryTiming of(AgentTiming times) {
        // Never below the lease: before it has run out on the worker's clock, the tasks may be running.
        long silentMs = times.longestLeaseMs() + (long) (LEASE_MARGIN * times.leaseMs());
        return new RecoveryTiming(
                WINDOW_HEARTBEATS * times.heartbeatMs(),
                silentMs,
                (long) (RETRY_HEARTBEATS * times.heartbeatMs()),
                (long) (CONTACT_HEARTBEATS * times.heartbeatMs()));
    }
}
