package io.quartzgw.recovery;

import io.quartzgw.liveness.AgentTiming;

/**
 * The durations of the recovery, derived from the timing of the agents.
 *
 * @param gatherWindowMs the maximum time for which a new leader gathers heartbeats
 * @param reservationMs how long capacity on an unresponsive machine stays reserved after the last heartbeat response
 * @param retryDelayMs the delay before another attempt to read the stored state
 * @param contactIntervalMs the interval at which the leader contacts unverified machines
 */
public record RecoveryTiming(long gatherWindowMs, long reservationMs, long retryDelayMs, long contactIntervalMs) {
    private static final int GATHER_WINDOW_HEARTBEATS = 6;
    /** The margin on top of the lease, as a fraction of it: an agent may detect late that its lease has expired. */
    private static final double LEASE_MARGIN = 0.06;

    private static final double RETRY_HEARTBEATS = 0.1;
    private static final double CONTACT_HEARTBEATS = 0.04;

    /** Derives the durations from the heartbeat interval and the lease of agents. */
    public static RecoveryTiming of(AgentTiming timing) {
        // A task may run until the lease expires by the agent's clock, so a reservation must last at least as long.
        long reservationMs = timing.longestLeaseMs() + (long) (LEASE_MARGIN * timing.leaseMs());
        return new RecoveryTiming(
                GATHER_WINDOW_HEARTBEATS * timing.heartbeatMs(),
                reservationMs,
                (long) (RETRY_HEARTBEATS * timing.heartbeatMs()),
                (long) (CONTACT_HEARTBEATS * timing.heartbeatMs()));
    }
}
