package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.LoggerFactory;

/**
 * Crashes of the leader, or of the leader and another controller, while its direct calls are held up, laid over the
 * other faults of a random cluster. Some machines are started again before the calls reach them.
 */
final class CrashesWithHeldUpStarts {
    private static final int CONTROLLERS = 3;
    private static final long FIRST_ROUND_AT_MS = 25_000;
    private static final int MIN_ROUND_INTERVAL_MS = 12_000;
    private static final int ROUND_INTERVAL_SPREAD_MS = 20_000;

    private static final double DELAYED_CALL_SHARE = 0.9;
    private static final long MAX_CALL_DELAY_MS = 30_000;
    private static final int MAX_BURST_MS = 4_000;
    private static final long MIN_DOWNTIME_MS = 100;
    private static final int DOWNTIME_SPREAD_MS = 3_000;
    private static final int MAX_REBOOT_DELAY_MS = 25_000;
    private static final int MAX_REBOOTS = 4;

    private static final int FIRST_JOB_NUMBER = 8_000;
    private static final int JOBS_PER_CRASH = 3;
    private static final int MAX_TASKS = 4;

    private CrashesWithHeldUpStarts() {}

    /**
     * Schedules the crashes of a run.
     *
     * @param seed of the run; the crashes have a random source of their own, so that the other faults stay as they are
     * @param end when the last machine has been started again
     */
    static void scheduleAll(ClusterSimulation simulation, long seed, long end) {
        SplittableRandom random = new SplittableRandom(~seed);
        int crashes = 0;
        for (long at = FIRST_ROUND_AT_MS;
                at + MAX_BURST_MS + MAX_REBOOT_DELAY_MS < end;
                at += MIN_ROUND_INTERVAL_MS + random.nextInt(ROUND_INTERVAL_SPREAD_MS)) {
            schedule(simulation, random, at, FIRST_JOB_NUMBER + crashes * JOBS_PER_CRASH);
            crashes++;
        }
        simulation.schedule(end, () -> simulation.network().holdUpCommandShare(0, 0));
    }

    private static void schedule(ClusterSimulation simulation, SplittableRandom random, long at, int firstJob) {
        simulation.schedule(at, () -> delayMostCalls(simulation));
        for (int i = 0; i < JOBS_PER_CRASH; i++) {
            ObjectNode job = job(firstJob + i, 1 + random.nextInt(MAX_TASKS));
            simulation.schedule(
                    at + random.nextInt(MAX_BURST_MS), () -> simulation.users().submitUntilAccepted(job));
        }
        long crashAt = at + 1 + random.nextInt(MAX_BURST_MS);
        long downMs = MIN_DOWNTIME_MS + random.nextInt(DOWNTIME_SPREAD_MS);
        int others = random.nextInt(CONTROLLERS);
        simulation.schedule(crashAt, () -> crash(simulation, downMs, others));
        int reboots = random.nextInt(MAX_REBOOTS + 1);
        for (int i = 0; i < reboots; i++) {
            int pick = random.nextInt(Integer.MAX_VALUE);
            boolean epochKept = random.nextBoolean();
            simulation.schedule(
                    crashAt + random.nextInt(MAX_REBOOT_DELAY_MS), () -> reboot(simulation, pick, epochKept));
        }
    }

    /** Holds most direct calls up from now on. */
    static void delayMostCalls(ClusterSimulation simulation) {
        simulation.network().holdUpCommandShare(DELAYED_CALL_SHARE, MAX_CALL_DELAY_MS);
    }

    /** A job whose tasks run as soon as their starts arrive. */
    static ObjectNode job(int number, int tasks) {
        return JobRequests.array(JobRequests.id(number), "blue", tasks, 1, 10).put("pull_gb", 0.0);
    }

    /** @param other how far from the leader the other controller is that crashes with it; 0 for none */
    private static void crash(ClusterSimulation simulation, long downMs, int other) {
        int leader = simulation.leaderOrFirst();
        LoggerFactory.getLogger(CrashesWithHeldUpStarts.class).info("crash of {} and {} others", leader, other);
        simulation.network().holdUpCommandShare(0, 0);
        simulation.crash(leader, downMs);
        if (other > 0) {
            simulation.crash((leader + other) % CONTROLLERS, downMs / 2);
        }
    }

    private static void reboot(ClusterSimulation simulation, int pick, boolean epochKept) {
        List<String> machines = simulation.agents().machineIds();
        if (!machines.isEmpty()) {
            simulation.agents().reboot(machines.get(pick % machines.size()), epochKept);
        }
    }
}
