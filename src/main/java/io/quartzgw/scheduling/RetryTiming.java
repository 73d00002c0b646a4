package io.quartzgw.scheduling;

/**
 * When a job is tried again after a failure.
 *
 * @param initialDelayMs the delay after the first failure; it doubles with each further one, up to a limit
 * @param exclusionMs for how long the job is not scheduled on the machine where it has failed
 * @param trialMs how long the other tasks of a job wait that has failed several times, after one was started
 * @param forgottenAfterMs how long after a job's last failure its failures are no longer counted
 */
public record RetryTiming(long initialDelayMs, long exclusionMs, long trialMs, long forgottenAfterMs) {
    private static final double INITIAL_DELAY_HEARTBEATS = 0.4;
    /** Well below the 90 s that a job may wait beside a machine with free capacity. */
    private static final int EXCLUSION_HEARTBEATS = 12;
    /** Tasks that were submitted with a mistake fail soon after their start. */
    private static final int TRIAL_HEARTBEATS = 2;

    /** More than two of the longest delays: a job that goes on failing is not forgotten between two attempts. */
    private static final int FORGOTTEN_AFTER_HEARTBEATS = 26;

    /** Returns the timing for the agents' heartbeat interval. */
    public static RetryTiming of(long heartbeatMs) {
        return new RetryTiming(
                (long) (INITIAL_DELAY_HEARTBEATS * heartbeatMs),
                EXCLUSION_HEARTBEATS * heartbeatMs,
                TRIAL_HEARTBEATS * heartbeatMs,
                FORGOTTEN_AFTER_HEARTBEATS * heartbeatMs);
    }
}
