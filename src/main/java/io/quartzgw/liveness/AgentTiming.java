package io.quartzgw.liveness;

/**
 * The timing of agents, from the settings.
 *
 * @param heartbeatMs the interval between two heartbeats of an agent
 * @param leaseMs how long an agent keeps its tasks after it sent the last heartbeat that had a response
 * @param cancelMs how long a task may run after a user was told that its job is cancelled
 */
public record AgentTiming(long heartbeatMs, long leaseMs, long cancelMs) {
    /** The steady clocks of two machines drift apart by up to 0.05% in either direction. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    /** Returns the longest duration that an agent's lease can have by the clock of another machine. */
    public long longestLeaseMs() {
        return (long) Math.ceil(leaseMs * (1 + MAX_CLOCK_DRIFT)) + 1;
    }
}
