package io.quartzgw.leadership;

/**
 * The timing of leadership, as ratios to the workers' figures.
 *
 * @param leaseMs life of the leader's hold on the state service
 * @param graceMs how long after its last confirmed renewal a leader still answers reports
 * @param heartbeatMs how often controllers tell each other what they know
 */
public record LeadershipTiming(long leaseMs, long graceMs, long heartbeatMs) {
    /**
     * Longer than a pause of a controller with a quarter of a core; and it is the leases that a takeover must not
     * outlast, so it is a part of them, however seldom workers report.
     */
    private static final double LEASE_AGENT_LEASES = 0.22;

    private static final int HEARTBEATS_PER_LEASE = 4;
    /**
     * What lies between the end of the grace and the cancel limit besides a lease: the last answered report's own age,
     * and the time that a kill takes.
     */
    private static final double MARGIN_HEARTBEATS = 2;

    /** What is left for the grace: less than half a report interval makes settings that nobody can lead with. */
    public static double graceSeconds(double reportS, double leaseS, double cancelS) {
        return cancelS - leaseS - MARGIN_HEARTBEATS * reportS;
    }

    /** Derives all times from the report interval, the worker lease and the time allowed for a cancellation. */
    public static LeadershipTiming of(double reportS, double leaseS, double cancelS) {
        // Grace + lease stays below the cancel limit: a task of a job that was cancelled through
        // another node ends in time even on a machine that only the cut-off leader reaches.
        double graceS = graceSeconds(reportS, leaseS, cancelS);
        // A leader is confirmed for its hold, and answers for its grace: that is never the shorter one.
        double holdS = Math.min(LEASE_AGENT_LEASES * leaseS, graceS);
        return new LeadershipTiming(
                Math.round(holdS * 1000), Math.round(graceS * 1000), Math.round(holdS * 1000 / HEARTBEATS_PER_LEASE));
    }
}
