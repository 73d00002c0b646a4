package io.quartzgw.liveness;

/**
 * The timing of agents, from the settings.
 *
 * @param heartbeatMs the interval between two heartbeats of an agent
 * @param leaseMs how long an agent keeps its tasks after sending the last heartbeat that got a response
 * @param cancelLimitMs how long a task may run after the cancellation of its job was acknowledged to a user
 */
public record AgentTiming(long heartbeatMs, long leaseMs, long cancelLimitMs) {
    /**
     * Steady clocks of two machines drift apart by at most 0.05% in either direction. The constant is twice that as a
     * margin.
     */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    /** Returns the longest duration of an agent's lease as measured by the clock of another machine. */
    public long longestLeaseMs() {
        return (long) Math.ceil(leaseMs * (1 + MAX_CLOCK_DRIFT)) + 1;
    }
}
