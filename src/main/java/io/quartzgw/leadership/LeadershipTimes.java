package io.quartzgw.leadership;

/**
 * The times of leadership, as ratios to the workers' figures.
 *
 * @param holdMs life of the leader's hold on the state service
 * @param graceMs how long after its last confirmed renewal a leader still answers reports
 * @param heartbeatMs how often controllers tell each other what they know
 */
public record LeadershipTimes(long holdMs, long graceMs, long heartbeatMs) {
    /** Longer than a slow start or a pause of a controller with a quarter of a core. */
    private static final double HOLD_REPORTS = 1.6;
    private static final double HEARTBEAT_REPORTS = 0.4;
    /**
     * What lies between the end of the grace and the cancel limit besides a lease: the last answered
     * report's own age, and the time that a kill takes.
     */
    private static final double MARGIN_REPORTS = 2;

    public static LeadershipTimes of(double reportS, double leaseS, double cancelS) {
        long hold = Math.round(HOLD_REPORTS * reportS * 1000);
        // Grace + lease stays below the cancel limit: a task of a job that was cancelled through
        // another node ends in time even on a machine that only the cut-off leader reaches.
        long grace = Math.round((cancelS - leaseS - MARGIN_REPORTS * reportS) * 1000);
        return new LeadershipTimes(hold, Math.max(hold, grace), Math.round(HEARTBEAT_REPORTS * reportS * 1000));
    }
}
