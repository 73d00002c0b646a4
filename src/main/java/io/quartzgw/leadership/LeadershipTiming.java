package io.quartzgw.leadership;

/**
 * The durations of leadership, derived from those of the agents.
 *
 * @param leaseMs the time to live of the leader's lease in the state service
 * @param graceMs how long a leader still answers heartbeats of agents after the time before which it has recorded all
 *     cancellations
 * @param heartbeatMs the interval of messages between controllers
 */
public record LeadershipTiming(long leaseMs, long graceMs, long heartbeatMs) {
    /**
     * The leader's lease as a fraction of an agent's lease. It must outlast the pauses of a controller that runs on a
     * quarter of a core. It must also be short enough for a failover to complete before the agents' leases expire, even
     * with a long heartbeat interval.
     */
    private static final double LEASE_FRACTION = 0.22;

    private static final int HEARTBEATS_PER_LEASE = 4;
    /**
     * The time between the end of the grace period and the cancel limit, without the agent's lease, in heartbeat
     * intervals of agents. It covers the age of the last answered heartbeat and the time needed to stop a task.
     */
    private static final double MARGIN_HEARTBEATS = 2;

    /** Returns the time left for the grace period. With less than half a heartbeat interval no controller can lead. */
    public static double graceSeconds(double agentHeartbeatS, double agentLeaseS, double cancelLimitS) {
        return cancelLimitS - agentLeaseS - MARGIN_HEARTBEATS * agentHeartbeatS;
    }

    /** Derives all durations from the agents' heartbeat interval and lease, and the cancel limit. */
    public static LeadershipTiming of(double agentHeartbeatS, double agentLeaseS, double cancelLimitS) {
        // Grace period and agent lease together stay below the cancel limit. So a task of a job that was cancelled
        // through another controller ends in time, even on a machine that only a partitioned leader can reach.
        double graceS = graceSeconds(agentHeartbeatS, agentLeaseS, cancelLimitS);
        // The leader's lease, during which it is confirmed, must not exceed the grace period, during which it answers.
        double leaseS = Math.min(LEASE_FRACTION * agentLeaseS, graceS);
        return new LeadershipTiming(
                Math.round(leaseS * 1000), Math.round(graceS * 1000), Math.round(leaseS * 1000 / HEARTBEATS_PER_LEASE));
    }
}
