package io.quartzgw.leadership;

/**
 * The durations of leadership, derived from those of the agents.
 *
 * @param leaseMs time to live of the leader's lease in the state store
 * @param graceMs how long a leader still answers heartbeats of agents after the moment up to which it knows of all
 *     cancellations
 * @param heartbeatMs the interval of messages between controllers
 */
public record LeadershipTiming(long leaseMs, long graceMs, long heartbeatMs) {
    /**
     * The leader's lease as a fraction of an agent's lease. It is longer than a pause of a controller with a quarter of
     * a core; and a failover must not outlast the agents' leases, however rarely they send heartbeats.
     */
    private static final double LEASE_FRACTION = 0.22;

    private static final int HEARTBEATS_PER_LEASE = 4;
    /**
     * What lies between the end of the grace period and the cancel limit besides an agent's lease, in heartbeats of
     * agents: the age of the last answered heartbeat, and the time that it takes to stop a task.
     */
    private static final double MARGIN_HEARTBEATS = 2;

    /** What is left for the grace period; with less than half a heartbeat interval nobody can lead. */
    public static double graceSeconds(double agentHeartbeatS, double agentLeaseS, double cancelLimitS) {
        return cancelLimitS - agentLeaseS - MARGIN_HEARTBEATS * agentHeartbeatS;
    }

    /** Derives all durations from the agents' heartbeat interval and lease, and the time limit of a cancellation. */
    public static LeadershipTiming of(double agentHeartbeatS, double agentLeaseS, double cancelLimitS) {
        // Grace period and lease together stay below the cancel limit: a task of a job that was cancelled through
        // another controller ends in time, even on a machine that only the cut-off leader reaches.
        double graceS = graceSeconds(agentHeartbeatS, agentLeaseS, cancelLimitS);
        // A leader is confirmed for its lease, and answers for its grace period: that is never the shorter one.
        double leaseS = Math.min(LEASE_FRACTION * agentLeaseS, graceS);
        return new LeadershipTiming(
                Math.round(leaseS * 1000), Math.round(graceS * 1000), Math.round(leaseS * 1000 / HEARTBEATS_PER_LEASE));
    }
}
