package io.quartzgw.recovery;

import io.quartzgw.liveness.AgentTiming;

/**
 * The durations of the recovery, which are ratios to the agents' timing.
 *
 * @param gatherWindowMs how long a new leader gathers heartbeats at most
 * @param reservationMs how long the capacity of a silent machine stays reserved after the last response to a heartbeat
 * @param retryMs the pause before the stored state is read again
 * @param contactIntervalMs the pause between two rounds of contacting unverified machines
 */
public record RecoveryTiming(long gatherWindowMs, long reservationMs, long retryMs, long contactIntervalMs) {
    private static final int GATHER_WINDOW_HEARTBEATS = 6;
    /** The margin over the lease, since an agent may be slow to notice that its lease has ended. */
    private static final double LEASE_MARGIN = 0.06;

    private static final double RETRY_HEARTBEATS = 0.1;
    private static final double CONTACT_HEARTBEATS = 0.04;

    /** Derives the durations from the heartbeat interval and the lease of agents. */
    public static RecoveryTiming of(AgentTiming timing) {
        // Tasks may run until the lease has ended by the agent's clock, so a reservation must not be shorter.
        long reservationMs = timing.longestLeaseMs() + (long) (LEASE_MARGIN * timing.leaseMs());
        return new RecoveryTiming(
                GATHER_WINDOW_HEARTBEATS * timing.heartbeatMs(),
                reservationMs,
                (long) (RETRY_HEARTBEATS * timing.heartbeatMs()),
                (long) (CONTACT_HEARTBEATS * timing.heartbeatMs()));
    }
}
