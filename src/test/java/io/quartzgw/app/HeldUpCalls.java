package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * Bursts in which direct calls are held up for seconds to minutes, laid over the other faults of a random cluster: on
 * more machines at a time than may be evacuated, while jobs are cancelled as soon as their starts have left.
 */
final class HeldUpCalls {
    /** The longest time for which a call is held up. */
    static final long LONGEST_MS = 150_000;

    private static final long LONGEST_OF_SHORT_BURST_MS = LONGEST_MS / 10;
    private static final long FIRST_MS = 20_000;
    private static final int SHORTEST_BURST_MS = 5_000;
    private static final int BURST_SPREAD_MS = 20_000;
    private static final List<Double> SHARES = List.of(0.2, 0.6, 0.95);
    private static final int MAX_CANCELLED_JOBS = 5;

    private static final int FIRST_JOB = 9_000;
    private static final int JOBS_PER_BURST = 3;
    private static final int SHORTEST_LIFE_MS = 200;
    private static final int LIFE_SPREAD_MS = 4_000;

    private HeldUpCalls() {}

    /**
     * Schedules the bursts of a run.
     *
     * @param seed of the run; the bursts have a random source of their own, so that the other faults stay as they are
     * @param end when the last burst is over, though calls are held up for longer
     */
    static void scheduleAll(ClusterSimulation simulation, long seed, long end) {
        SplittableRandom random = new SplittableRandom(~seed);
        int burst = 0;
        for (long at = FIRST_MS; at < end; at += SHORTEST_BURST_MS + random.nextInt(BURST_SPREAD_MS)) {
            double share = SHARES.get(random.nextInt(SHARES.size()));
            long longestMs = random.nextBoolean() ? LONGEST_MS : LONGEST_OF_SHORT_BURST_MS;
            simulation.schedule(at, () -> simulation.network().holdUpCommandShare(share, longestMs));
            int cancelled = random.nextInt(MAX_CANCELLED_JOBS + 1);
            simulation.schedule(
                    at + random.nextInt(SHORTEST_BURST_MS),
                    () -> simulation.users().cancelRunningJobs(cancelled));
            for (int i = 0; i < JOBS_PER_BURST; i++) {
                scheduleShortLivedJob(simulation, random, at, FIRST_JOB + burst * JOBS_PER_BURST + i);
            }
            burst++;
        }
        simulation.schedule(end, () -> simulation.network().holdUpCommandShare(0, 0));
    }

    private static void scheduleShortLivedJob(
            ClusterSimulation simulation, SplittableRandom random, long burstAt, int number) {
        ObjectNode job =
                JobRequests.service(JobRequests.id(number), "blue", 1, 1).put("pull_gb", 0.0);
        long at = burstAt + random.nextInt(SHORTEST_BURST_MS);
        OptionalLong cancelAt = OptionalLong.of(at + SHORTEST_LIFE_MS + random.nextInt(LIFE_SPREAD_MS));
        simulation.schedule(at, () -> simulation.users().submitUntilAccepted(job, cancelAt));
    }
}
