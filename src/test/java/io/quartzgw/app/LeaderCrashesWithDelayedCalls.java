package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.LoggerFactory;

/**
 * Adds crashes of the leader, alone or together with another controller, to the other faults of a random simulation.
 * The leader's direct calls are delayed when it crashes, and some machines reboot before the calls reach them.
 */
final class LeaderCrashesWithDelayedCalls {
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

    private LeaderCrashesWithDelayedCalls() {}

    /**
     * Schedules the crashes of a run.
     *
     * @param seed the seed of the run; the crashes use their own random source, which leaves the other faults unchanged
     * @param end the time by which the last machine has rebooted
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
        simulation.schedule(end, () -> simulation.network().delayCommandShareUpTo(0, 0));
    }

    private static void schedule(ClusterSimulation simulation, SplittableRandom random, long at, int firstJob) {
        simulation.schedule(at, () -> delayMostCalls(simulation));
        for (int i = 0; i < JOBS_PER_CRASH; i++) {
            ObjectNode job = job(firstJob + i, 1 + random.nextInt(MAX_TASKS));
            simulation.schedule(
                    at + random.nextInt(MAX_BURST_MS), () -> simulation.users().submitUntilAccepted(job));
        }
        long crashAt = at + 1 + random.nextInt(MAX_BURST_MS);
        long downtimeMs = MIN_DOWNTIME_MS + random.nextInt(DOWNTIME_SPREAD_MS);
        int offset = random.nextInt(CONTROLLERS);
        simulation.schedule(crashAt, () -> crash(simulation, downtimeMs, offset));
        int reboots = random.nextInt(MAX_REBOOTS + 1);
        for (int i = 0; i < reboots; i++) {
            int machineChoice = random.nextInt(Integer.MAX_VALUE);
            boolean epochKept = random.nextBoolean();
            simulation.schedule(
                    crashAt + random.nextInt(MAX_REBOOT_DELAY_MS), () -> reboot(simulation, machineChoice, epochKept));
        }
    }

    /** Delays most direct calls from now on. */
    static void delayMostCalls(ClusterSimulation simulation) {
        simulation.network().delayCommandShareUpTo(DELAYED_CALL_SHARE, MAX_CALL_DELAY_MS);
    }

    /** Returns a job without an image to fetch, so that its tasks run as soon as their starts arrive. */
    static ObjectNode job(int number, int tasks) {
        return JobRequests.array(JobRequests.id(number), "blue", tasks, 1, 10).put("pull_gb", 0.0);
    }

    /**
     * @param offset the index offset from the leader to the other controller that crashes with it; 0 if only the leader
     *     crashes
     */
    private static void crash(ClusterSimulation simulation, long downtimeMs, int offset) {
        int leader = simulation.leaderOrFirst();
        LoggerFactory.getLogger(LeaderCrashesWithDelayedCalls.class)
                .info("crashing controller {}, offset to the second: {}", leader, offset);
        simulation.network().delayCommandShareUpTo(0, 0);
        simulation.crash(leader, downtimeMs);
        if (offset > 0) {
            simulation.crash((leader + offset) % CONTROLLERS, downtimeMs / 2);
        }
    }

    private static void reboot(ClusterSimulation simulation, int machineChoice, boolean epochKept) {
        List<String> machines = simulation.agents().machineIds();
        if (!machines.isEmpty()) {
            simulation.agents().reboot(machines.get(machineChoice % machines.size()), epochKept);
        }
    }
}
