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
    private static final long FIRST_MS = 20_000;
    private static final int SHORTEST_INTERVAL_MS = 12_000;
    private static final int INTERVAL_SPREAD_MS = 16_000;

    private static final int LONGEST_CUT_BEFORE_MS = 8_000;
    private static final int LONGEST_CUT_AFTER_MS = 3_000;
    private static final int SUBMITTED_WITHIN_MS = 2_000;
    private static final int LATEST_CRASH_MS = 3_000;
    private static final int LONGEST_BURST_MS = 8_000;
    private static final long SHORTEST_DOWN_MS = 100;
    private static final int DOWN_SPREAD_MS = 3_000;
    private static final int LONGEST_OUTAGE_MS = 8_000;
    private static final int OUTAGE_ONE_IN = 3;

    private static final int FIRST_JOB = 7_000;
    private static final int JOBS_PER_ROUND = 4;
    private static final int MAX_TASKS = 5;
    private static final int SHORTEST_LIFE_MS = 300;
    private static final int LIFE_SPREAD_MS = 9_000;

    private static final int MAX_REBOOTS = 5;
    private static final int SHORTEST_REBOOT_MS = 3_000;
    private static final int REBOOT_SPREAD_MS = 22_000;
    /** Within such a time the agent of a machine that was started again has often not been answered yet. */
    private static final int LATEST_DELIVERY_MS = 200;

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
        for (long at = FIRST_MS;
                at + LATEST_CRASH_MS + LONGEST_BURST_MS + SHORTEST_REBOOT_MS + REBOOT_SPREAD_MS < end;
                at += SHORTEST_INTERVAL_MS + random.nextInt(INTERVAL_SPREAD_MS)) {
            scheduleRound(at, FIRST_JOB + round * JOBS_PER_ROUND);
            round++;
        }
        simulation.schedule(end, () -> simulation.network().holdUpCommandShare(0, 0));
    }

    private void scheduleRound(long at, int firstJob) {
        long crashAt = at + 1 + random.nextInt(LATEST_CRASH_MS);
        simulation.schedule(at, () -> CrashesWithHeldUpStarts.holdUpCalls(simulation));
        for (int i = 0; i < JOBS_PER_ROUND; i++) {
            scheduleJob(at, firstJob + i);
        }
        if (random.nextBoolean()) {
            scheduleCut(at, crashAt);
        }
        scheduleCrashes(crashAt);
        if (random.nextInt(OUTAGE_ONE_IN) == 0) {
            scheduleOutage(at + random.nextInt(LONGEST_BURST_MS));
        }
        int reboots = random.nextInt(MAX_REBOOTS + 1);
        for (int i = 0; i < reboots; i++) {
            scheduleReboot(at, crashAt);
        }
    }

    private void scheduleJob(long roundAt, int number) {
        ObjectNode job = CrashesWithHeldUpStarts.job(number, 1 + random.nextInt(MAX_TASKS));
        long at = roundAt + random.nextInt(SUBMITTED_WITHIN_MS);
        OptionalLong cancelAt = random.nextBoolean()
                ? OptionalLong.of(at + SHORTEST_LIFE_MS + random.nextInt(LIFE_SPREAD_MS))
                : OptionalLong.empty();
        simulation.schedule(at, () -> simulation.users().submitUntilAccepted(job, cancelAt));
    }

    /**
     * The leader goes on without the controller that is cut off from it, and may end before that hears of its starts.
     */
    private void scheduleCut(long roundAt, long crashAt) {
        long cutAt = roundAt - random.nextInt(LONGEST_CUT_BEFORE_MS);
        long healAt = crashAt + random.nextInt(LONGEST_CUT_AFTER_MS);
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
        int withinMs = random.nextBoolean() ? 1 : LONGEST_BURST_MS;
        long[] delaysMs = new long[crashes];
        long[] downMs = new long[crashes];
        for (int i = 0; i < crashes; i++) {
            delaysMs[i] = i == 0 ? 0 : random.nextInt(withinMs);
            downMs[i] = SHORTEST_DOWN_MS + random.nextInt(DOWN_SPREAD_MS);
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
                at + 1 + random.nextInt(LONGEST_OUTAGE_MS),
                () -> simulation.store().setOutage(false));
    }

    /** Calls to a machine are held back from the beginning of the round until it has been started again. */
    private void scheduleReboot(long roundAt, long crashAt) {
        int pick = random.nextInt(Integer.MAX_VALUE);
        boolean epochKept = random.nextInt(4) == 0;
        long soonMs = (long) SHORTEST_REBOOT_MS + random.nextInt(REBOOT_SPREAD_MS);
        boolean late = random.nextBoolean() && crashAt + LONGEST_BURST_MS + cancelMs + soonMs < end;
        long rebootAt = crashAt + soonMs + (late ? LONGEST_BURST_MS + cancelMs : 0);
        long deliveryMs = random.nextInt(LATEST_DELIVERY_MS);
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
