package io.quartzgw.scheduling;

/**
 * How long machines stay in quarantine and on probation.
 *
 * @param firstMs the duration of the first quarantine; each further one in a row is twice as long
 * @param longestMs the longest duration
 * @param probationMs how long a machine is on probation
 */
record QuarantineTiming(long firstMs, long longestMs, long probationMs) {
    private static final int FIRST_HEARTBEATS = 4;
    /** With the probation, well below the 90 s that a job may wait beside a machine with free capacity. */
    private static final int LONGEST_HEARTBEATS = 8;

    private static final int PROBATION_HEARTBEATS = 4;

    /** Returns the timing for the agents' heartbeat interval. */
    static QuarantineTiming of(long heartbeatMs) {
        return new QuarantineTiming(
                FIRST_HEARTBEATS * heartbeatMs, LONGEST_HEARTBEATS * heartbeatMs, PROBATION_HEARTBEATS * heartbeatMs);
    }

    /** Returns the duration of a quarantine that is the given one in a row, counted from 1. */
    long durationMs(int quarantine) {
        long durationMs = firstMs;
        for (int i = 1; i < quarantine && durationMs < longestMs; i++) {
            durationMs *= 2;
        }
        return Math.min(durationMs, longestMs);
    }
}
