package io.quartzgw.liveness;

/** The workers' figures from the settings, in milliseconds. */
public record AgentTiming(long heartbeatMs, long leaseMs, long cancelMs) {
    /** Steady clocks of two machines drift apart by up to 0.05%, either way. */
    private static final double DRIFT = 0.001;

    /** A lease as long as it can be on another machine's clock. */
    public long longestLeaseMs() {
        return (long) Math.ceil(leaseMs * (1 + DRIFT)) + 1;
    }
}
