package io.quartzgw.recovery;

import io.quartzgw.worker.WorkerTimes;

/**
 * The times of recovery, as ratios to the workers' figures.
 *
 * @param windowMs how long a new leader gathers reports at the most before it places
 * @param silentMs how long a silent machine keeps its room, from the last report that was answered
 */
public record Holds(long windowMs, long silentMs) {
    private static final int WINDOW_REPORTS = 6;
    /** How much longer than the lease: a worker may be slow to notice that its lease has run out. */
    private static final double BEYOND_LEASE = 0.06;

    /** Derives the reservation time of silent machines from the worker lease. */
    public static Holds of(WorkerTimes times) {
        // Never below the lease: before it has run out on the worker's clock, the tasks may be running.
        return new Holds(
                WINDOW_REPORTS * times.reportMs(), times.longestLeaseMs() + (long) (BEYOND_LEASE * times.leaseMs()));
    }
}
