package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.slf4j.LoggerFactory;

/**
 * Crashes of one, two and all controllers within seconds of each other while starts are on their way, laid over the
 * other faults of a random cluster. In some a controller is cut off from the leader before, or the state service is
 * away for a moment. Jobs are cancelled around the crashes. Calls to some machines are held back until these have been
 * started again: once the tasks may be elsewhere, or once a cancellation has to be carried out.
 */
final class CrashesOfAllControllers {
    private static final int CONTROLLERS = 3;
    private static final long FIRST_ROUND_AT_MS = 20_000;
    private static final int MIN_ROUND_INTERVAL_MS = 12_000;
    private static final int ROUND_INTERVAL_SPREAD_MS = 16_000;

    private static final int MAX_PARTITION_BEFORE_ROUND_MS = 8_000;
    private static final int MAX_PARTITION_AFTER_CRASH_MS = 3_000;
    private static final int SUBMISSION_SPREAD_MS = 2_000;
    private static final int MAX_CRASH_DELAY_MS = 3_000;
    private static final int MAX_BURST_MS = 8_000;
    private static final long MIN_DOWNTIME_MS = 100;
    private static final int DOWNTIME_SPREAD_MS = 3_000;
    private static final int MAX_OUTAGE_MS = 8_000;
    private static final int OUTAGE_ONE_IN = 3;

    private static final int FIRST_JOB_NUMBER = 7_000;
    private static final int JOBS_PER_ROUND = 4;
    private static final int MAX_TASKS = 5;
    private static final int MIN_JOB_LIFETIME_MS = 300;
    private static final int JOB_LIFETIME_SPREAD_MS = 9_000;

    private static final int MAX_REBOOTS = 5;
    private static final int MIN_REBOOT_DELAY_MS = 3_000;
    private static final int REBOOT_DELAY_SPREAD_MS = 22_000;
    /** Within such a time the agent of a machine that was started again has often not been answered yet. */
    private static final int MAX_DELIVERY_DELAY_MS = 200;

    private final ClusterSimulation simulation;
    private final SplittableRandom random;
    private final long cancelMs;
    private final long end;

    private CrashesOfAllControllers(ClusterSimulation simulation, long seed, long cancelMs, long end) {
        this.simulation = simulation;
        this.random = new SplittableRandom(~seed);
        this.cancelMs = cancelMs;
        this.end = end;
    }

    /**
     * Schedules the crashes of a run.
     *
     * @param seed of the run; the crashes have a random source of their own, so that the other faults stay as they are
     * @param cancelMs how long the tasks of a cancelled job may stay
     * @param end when all of it is over
     */
    static void scheduleAll(ClusterSimulation simulation, long seed, long cancelMs, long end) {
        new CrashesOfAllControllers(simulation, seed, cancelMs, end).scheduleRounds();
    }

    private void scheduleRounds() {
        int round = 0;
        for (long at = FIRST_ROUND_AT_MS;
                at + MAX_CRASH_DELAY_MS + MAX_BURST_MS + MIN_REBOOT_DELAY_MS + REBOOT_DELAY_SPREAD_MS < end;
                at += MIN_ROUND_INTERVAL_MS + random.nextInt(ROUND_INTERVAL_SPREAD_MS)) {
            scheduleRound(at, FIRST_JOB_NUMBER + round * JOBS_PER_ROUND);
            round++;
        }
        simulation.schedule(end, () -> simulation.network().holdUpCommandShare(0, 0));
    }

    private void scheduleRound(long at, int firstJob) {
        long crashAt = at + 1 + random.nextInt(MAX_CRASH_DELAY_MS);
        simulation.schedule(at, () -> CrashesWithHeldUpStarts.delayMostCalls(simulation));
        for (int i = 0; i < JOBS_PER_ROUND; i++) {
            scheduleJob(at, firstJob + i);
        }
        if (random.nextBoolean()) {
            schedulePartition(at, crashAt);
        }
        scheduleCrashes(crashAt);
        if (random.nextInt(OUTAGE_ONE_IN) == 0) {
            scheduleOutage(at + random.nextInt(MAX_BURST_MS));
        }
        int reboots = random.nextInt(MAX_REBOOTS + 1);
        for (int i = 0; i < reboots; i++) {
            scheduleReboot(at, crashAt);
        }
    }

    private void scheduleJob(long roundAt, int number) {
        ObjectNode job = CrashesWithHeldUpStarts.job(number, 1 + random.nextInt(MAX_TASKS));
        long at = roundAt + random.nextInt(SUBMISSION_SPREAD_MS);
        OptionalLong cancelAt = random.nextBoolean()
                ? OptionalLong.of(at + MIN_JOB_LIFETIME_MS + random.nextInt(JOB_LIFETIME_SPREAD_MS))
                : OptionalLong.empty();
        simulation.schedule(at, () -> simulation.users().submitUntilAccepted(job, cancelAt));
    }

    /**
     * The leader goes on without the controller that is cut off from it, and may end before that hears of its starts.
     */
    private void schedulePartition(long roundAt, long crashAt) {
        long cutAt = roundAt - random.nextInt(MAX_PARTITION_BEFORE_ROUND_MS);
        long healAt = crashAt + random.nextInt(MAX_PARTITION_AFTER_CRASH_MS);
        int other = 1 + random.nextInt(CONTROLLERS - 1);
        simulation.schedule(cutAt, () -> {
            int leader = simulation.leaderOrFirst();
            String one = Hosts.controller(leader);
            String cutOff = Hosts.controller((leader + other) % CONTROLLERS);
            simulation.network().partition(one, cutOff);
            simulation.schedule(healAt, () -> simulation.network().heal(one, cutOff));
        });
    }

    /** One, two or all controllers end, at once or within seconds, the leader of the beginning first. */
    private void scheduleCrashes(long crashAt) {
        int crashes = 1 + random.nextInt(CONTROLLERS);
        int direction = 1 + random.nextInt(CONTROLLERS - 1);
        int withinMs = random.nextBoolean() ? 1 : MAX_BURST_MS;
        long[] delaysMs = new long[crashes];
        long[] downMs = new long[crashes];
        for (int i = 0; i < crashes; i++) {
            delaysMs[i] = i == 0 ? 0 : random.nextInt(withinMs);
            downMs[i] = MIN_DOWNTIME_MS + random.nextInt(DOWNTIME_SPREAD_MS);
        }
        simulation.schedule(crashAt, () -> {
            int leader = simulation.leaderOrFirst();
            LoggerFactory.getLogger(CrashesOfAllControllers.class).info("{} crashes, {} first", crashes, leader);
            for (int i = 0; i < crashes; i++) {
                int controller = (leader + i * direction) % CONTROLLERS;
                long forMs = downMs[i];
                simulation.schedule(crashAt + delaysMs[i], () -> simulation.crash(controller, forMs));
            }
        });
        simulation.schedule(crashAt + withinMs, () -> simulation.network().holdUpCommandShare(0, 0));
    }

    private void scheduleOutage(long at) {
        simulation.schedule(at, () -> simulation.store().setOutage(true));
        simulation.schedule(
                at + 1 + random.nextInt(MAX_OUTAGE_MS), () -> simulation.store().setOutage(false));
    }

    /** Calls to a machine are held back from the beginning of the round until it has been started again. */
    private void scheduleReboot(long roundAt, long crashAt) {
        int pick = random.nextInt(Integer.MAX_VALUE);
        boolean epochKept = random.nextInt(4) == 0;
        long soonMs = (long) MIN_REBOOT_DELAY_MS + random.nextInt(REBOOT_DELAY_SPREAD_MS);
        boolean late = random.nextBoolean() && crashAt + MAX_BURST_MS + cancelMs + soonMs < end;
        long rebootAt = crashAt + soonMs + (late ? MAX_BURST_MS + cancelMs : 0);
        long deliveryMs = random.nextInt(MAX_DELIVERY_DELAY_MS);
        simulation.schedule(roundAt, () -> {
            List<String> machines = simulation.agents().machineIds();
            if (machines.isEmpty()) {
                return;
            }
            String machine = machines.get(pick % machines.size());
            if (simulation.network().holdsCommands(machine)) {
                return;
            }
            simulation.network().holdCommands(machine);
            simulation.schedule(rebootAt, () -> simulation.agents().reboot(machine, epochKept));
            simulation.schedule(
                    rebootAt + deliveryMs, () -> simulation.network().deliverHeldCommands(machine));
        });
    }
}
