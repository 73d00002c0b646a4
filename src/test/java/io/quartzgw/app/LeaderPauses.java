package io.quartzgw.app;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.SplittableRandom;
import org.slf4j.LoggerFactory;

/**
 * Pauses of the leader, laid over the other faults of a random cluster: direct commands are late just before, jobs are
 * cancelled through the other controllers, and in most of them the state service comes and goes meanwhile.
 */
final class LeaderPauses {
    private static final long FIRST_PAUSE_MS = 20_000;
    private static final int MIN_INTERVAL_MS = 15_000;
    private static final int INTERVAL_SPREAD_MS = 30_000;
    private static final int MIN_PAUSE_MS = 3_000;
    private static final int MAX_PAUSE_MS = 70_000;
    /** How long before a pause direct commands are late. */
    private static final long DELAYED_COMMANDS_MS = 3_000;

    private static final double DELAYED_COMMAND_SHARE = 0.5;
    /** One in so many pauses is without an intermittent state service. */
    private static final int STEADY_STORE_ONE_IN = 4;

    private static final int CANCELLED_JOBS = 3;

    private LeaderPauses() {}

    /**
     * Schedules the pauses of a run.
     *
     * @param seed of the run; pauses have a random source of their own, so that the other faults stay as they are
     * @param end when the last pause is over
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
     * @param withinBatch whether it begins in the middle of a batch
     * @param storeIsIntermittent whether the state service does meanwhile
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
            simulation.letStoreComeAndGo(pause.time + pause.durationMs);
        }
        simulation.schedule(
                pause.time + (long) (pause.cancelFraction * pause.durationMs),
                () -> simulation.users().cancelRunningJobs(CANCELLED_JOBS));
    }
}
