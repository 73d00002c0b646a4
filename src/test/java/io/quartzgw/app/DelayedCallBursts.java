package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * Adds bursts of delayed direct calls to the other faults of a random simulation. Calls are delayed for seconds to
 * minutes, on more machines than may be evacuated at the same time, while jobs are cancelled right after their starts
 * are sent.
 */
final class DelayedCallBursts {
    /** Maximum delay of a call. */
    static final long LONGEST_MS = 150_000;

    private static final long MAX_SHORT_DELAY_MS = LONGEST_MS / 10;
    private static final long FIRST_BURST_AT_MS = 20_000;
    private static final int MIN_BURST_INTERVAL_MS = 5_000;
    private static final int BURST_INTERVAL_SPREAD_MS = 20_000;
    private static final List<Double> DELAYED_CALL_SHARES = List.of(0.2, 0.6, 0.95);
    private static final int MAX_CANCELLED_JOBS = 5;

    private static final int FIRST_JOB_NUMBER = 9_000;
    private static final int JOBS_PER_BURST = 3;
    private static final int MIN_JOB_LIFETIME_MS = 200;
    private static final int JOB_LIFETIME_SPREAD_MS = 4_000;

    private DelayedCallBursts() {}

    /**
     * Schedules the bursts of a run.
     *
     * @param seed the seed of the run; the bursts use their own random source, which leaves the other faults unchanged
     * @param end the time at which the last burst ends; calls may still be delayed after it
     */
    static void scheduleAll(ClusterSimulation simulation, long seed, long end) {
        SplittableRandom random = new SplittableRandom(~seed);
        int burst = 0;
        for (long at = FIRST_BURST_AT_MS;
                at < end;
                at += MIN_BURST_INTERVAL_MS + random.nextInt(BURST_INTERVAL_SPREAD_MS)) {
            double share = DELAYED_CALL_SHARES.get(random.nextInt(DELAYED_CALL_SHARES.size()));
            long longestMs = random.nextBoolean() ? LONGEST_MS : MAX_SHORT_DELAY_MS;
            simulation.schedule(at, () -> simulation.network().delayCommandShareUpTo(share, longestMs));
            int cancelled = random.nextInt(MAX_CANCELLED_JOBS + 1);
            simulation.schedule(
                    at + random.nextInt(MIN_BURST_INTERVAL_MS),
                    () -> simulation.users().cancelRunningJobs(cancelled));
            for (int i = 0; i < JOBS_PER_BURST; i++) {
                scheduleShortLivedJob(simulation, random, at, FIRST_JOB_NUMBER + burst * JOBS_PER_BURST + i);
            }
            burst++;
        }
        simulation.schedule(end, () -> simulation.network().delayCommandShareUpTo(0, 0));
    }

    private static void scheduleShortLivedJob(
            ClusterSimulation simulation, SplittableRandom random, long burstAt, int number) {
        ObjectNode job =
                JobRequests.service(JobRequests.id(number), "blue", 1, 1).put("pull_gb", 0.0);
        long at = burstAt + random.nextInt(MIN_BURST_INTERVAL_MS);
        OptionalLong cancelAt = OptionalLong.of(at + MIN_JOB_LIFETIME_MS + random.nextInt(JOB_LIFETIME_SPREAD_MS));
        simulation.schedule(at, () -> simulation.users().submitUntilAccepted(job, cancelAt));
    }
}
