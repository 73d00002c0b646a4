package io.quartzgw.app;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.SplittableRandom;
import org.slf4j.LoggerFactory;

/**
 * Pauses of the leader that random runs add to their other faults. Direct calls are delayed just before each pause.
 * Jobs are cancelled through the other controllers during it, and in most pauses the state service is intermittently
 * unavailable.
 */
final class LeaderPauses {
    private static final long FIRST_PAUSE_MS = 20_000;
    private static final int MIN_INTERVAL_MS = 15_000;
    private static final int INTERVAL_SPREAD_MS = 30_000;
    private static final int MIN_PAUSE_MS = 3_000;
    private static final int MAX_PAUSE_MS = 70_000;
    /** How long before a pause direct calls begin to be delayed. */
    private static final long DELAYED_COMMANDS_MS = 3_000;

    private static final double DELAYED_COMMAND_SHARE = 0.5;
    /** The state service stays available in one of this many pauses. */
    private static final int STEADY_STORE_ONE_IN = 4;

    private static final int CANCELLED_JOBS = 3;

    private LeaderPauses() {}

    /**
     * Schedules the pauses of a run.
     *
     * @param seed the seed of the run; the pauses use their own random source, which leaves the other faults unchanged
     * @param end the time by which the last pause has ended
     */
    static void scheduleAll(ClusterSimulation simulation, long seed, long end) {
        SplittableRandom random = new SplittableRandom(~seed);
        long at = FIRST_PAUSE_MS + random.nextInt(INTERVAL_SPREAD_MS);
        while (at + MIN_PAUSE_MS < end) {
            long durationMs = Math.min(MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS), end - at);
            Pause pause = new Pause(
                    at, durationMs, random.nextBoolean(), random.nextInt(STEADY_STORE_ONE_IN) > 0, random.nextDouble());
            simulation.schedule(
                    at - DELAYED_COMMANDS_MS, () -> simulation.network().delayCommandShare(DELAYED_COMMAND_SHARE));
            simulation.schedule(at, () -> begin(simulation, pause));
            at += durationMs + MIN_INTERVAL_MS + random.nextInt(INTERVAL_SPREAD_MS);
        }
    }

    /**
     * One pause.
     *
     * @param withinBatch whether the pause begins in the middle of a batch
     * @param storeIsIntermittent whether the state service is intermittently unavailable during the pause
     * @param cancelFraction when jobs are cancelled, as a fraction of the pause
     */
    private record Pause(
            long time, long durationMs, boolean withinBatch, boolean storeIsIntermittent, double cancelFraction) {}

    private static void begin(ClusterSimulation simulation, Pause pause) {
        LoggerFactory.getLogger(LeaderPauses.class).info("{}", pause);
        int leader = simulation.leaderOrFirst();
        simulation.network().delayCommandShare(0);
        if (pause.withinBatch) {
            simulation.pauseControllerWithinBatch(leader, pause.durationMs);
        } else {
            simulation.pauseController(leader, pause.durationMs);
        }
        if (pause.storeIsIntermittent) {
            simulation.makeStoreIntermittent(pause.time + pause.durationMs);
        }
        simulation.schedule(
                pause.time + (long) (pause.cancelFraction * pause.durationMs),
                () -> simulation.users().cancelRunningJobs(CANCELLED_JOBS));
    }
}
