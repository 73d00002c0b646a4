package io.quartzgw.recovery;

import io.quartzgw.worker.WorkerTimes;

/**
 * The times of recovery, as ratios to the workers' figures.
 *
 * @param windowMs how long a new leader gathers reports at the most before it places
 * @param silentMs how long the room of a silent machine is reserved, from the last report that was answered
 * @param retryMs pause before hard state is read again
 * @param contactMs pause between two rounds in which silent machines are asked
 */
public record RecoveryTimes(long windowMs, long silentMs, long retryMs, long contactMs) {
    private static final int WINDOW_REPORTS = 6;
    /** How much longer than the lease: a worker may be slow to notice that its lease has run out. */
    private static final double BEYOND_LEASE = 0.06;

    private static final double RETRY_REPORTS = 0.1;
    private static final double CONTACT_REPORTS = 0.04;

    /** Derives the times from the report interval and the worker lease. */
    public static RecoveryTimes of(WorkerTimes times) {
        // Never below the lease: before it has run out on the worker's clock, the tasks may be running.
        long silentMs = times.longestLeaseMs() + (long) (BEYOND_LEASE * times.leaseMs());
        return new RecoveryTimes(
                WINDOW_REPORTS * times.reportMs(), silentMs, (long) (RETRY_REPORTS * times.reportMs()), (long)
                        (CONTACT_REPORTS * times.reportMs()));
    }
}
