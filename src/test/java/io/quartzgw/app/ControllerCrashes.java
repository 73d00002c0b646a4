package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.slf4j.LoggerFactory;

/**
 * Adds crashes of one, two or all controllers within seconds of each other to the other faults of a random simulation,
 * while starts are outstanding. In some rounds a controller is partitioned from the leader before, or the state service
 * has a short outage. Jobs are cancelled around the crashes. Direct calls to some machines are delayed until these
 * reboot, either after the tasks may have been placed elsewhere or after the cancel limit.
 */
final class ControllerCrashes {
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
    /** Within this time, the agent of a rebooted machine has often not received its first heartbeat response. */
    private static final int MAX_DELIVERY_DELAY_MS = 200;

    private final ClusterSimulation simulation;
    private final SplittableRandom random;
    private final long cancelLimitMs;
    private final long end;

    private ControllerCrashes(ClusterSimulation simulation, long seed, long cancelLimitMs, long end) {
        this.simulation = simulation;
        this.random = new SplittableRandom(~seed);
        this.cancelLimitMs = cancelLimitMs;
        this.end = end;
    }

    /**
     * Schedules the crashes of a run.
     *
     * @param seed the seed of the run; the crashes use their own random source, which leaves the other faults unchanged
     * @param cancelLimitMs the time within which the tasks of a cancelled job must be stopped
     * @param end the time by which all of these faults have ended
     */
    static void scheduleAll(ClusterSimulation simulation, long seed, long cancelLimitMs, long end) {
        new ControllerCrashes(simulation, seed, cancelLimitMs, end).scheduleRounds();
    }

    private void scheduleRounds() {
        int round = 0;
        for (long at = FIRST_ROUND_AT_MS;
                at + MAX_CRASH_DELAY_MS + MAX_BURST_MS + MIN_REBOOT_DELAY_MS + REBOOT_DELAY_SPREAD_MS < end;
                at += MIN_ROUND_INTERVAL_MS + random.nextInt(ROUND_INTERVAL_SPREAD_MS)) {
            scheduleRound(at, FIRST_JOB_NUMBER + round * JOBS_PER_ROUND);
            round++;
        }
        simulation.schedule(end, () -> simulation.network().delayCommandShareUpTo(0, 0));
    }

    private void scheduleRound(long at, int firstJob) {
        long crashAt = at + 1 + random.nextInt(MAX_CRASH_DELAY_MS);
        simulation.schedule(at, () -> LeaderCrashesWithDelayedCalls.delayMostCalls(simulation));
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
        ObjectNode job = LeaderCrashesWithDelayedCalls.job(number, 1 + random.nextInt(MAX_TASKS));
        long at = roundAt + random.nextInt(SUBMISSION_SPREAD_MS);
        OptionalLong cancelAt = random.nextBoolean()
                ? OptionalLong.of(at + MIN_JOB_LIFETIME_MS + random.nextInt(JOB_LIFETIME_SPREAD_MS))
                : OptionalLong.empty();
        simulation.schedule(at, () -> simulation.users().submitUntilAccepted(job, cancelAt));
    }

    /** Partitions another controller from the leader, which may crash before that controller receives its starts. */
    private void schedulePartition(long roundAt, long crashAt) {
        long partitionAt = roundAt - random.nextInt(MAX_PARTITION_BEFORE_ROUND_MS);
        long healAt = crashAt + random.nextInt(MAX_PARTITION_AFTER_CRASH_MS);
        int offset = 1 + random.nextInt(CONTROLLERS - 1);
        simulation.schedule(partitionAt, () -> {
            int leader = simulation.leaderOrFirst();
            String leaderHost = Hosts.controller(leader);
            String otherHost = Hosts.controller((leader + offset) % CONTROLLERS);
            simulation.network().partition(leaderHost, otherHost);
            simulation.schedule(healAt, () -> simulation.network().heal(leaderHost, otherHost));
        });
    }

    /** Crashes one, two or all controllers, at once or within seconds, starting with the current leader. */
    private void scheduleCrashes(long crashAt) {
        int crashes = 1 + random.nextInt(CONTROLLERS);
        int direction = 1 + random.nextInt(CONTROLLERS - 1);
        int spreadMs = random.nextBoolean() ? 1 : MAX_BURST_MS;
        long[] delaysMs = new long[crashes];
        long[] downtimesMs = new long[crashes];
        for (int i = 0; i < crashes; i++) {
            delaysMs[i] = i == 0 ? 0 : random.nextInt(spreadMs);
            downtimesMs[i] = MIN_DOWNTIME_MS + random.nextInt(DOWNTIME_SPREAD_MS);
        }
        simulation.schedule(crashAt, () -> {
            int leader = simulation.leaderOrFirst();
            LoggerFactory.getLogger(ControllerCrashes.class)
                    .info("{} controllers crash, controller {} first", crashes, leader);
            for (int i = 0; i < crashes; i++) {
                int controller = (leader + i * direction) % CONTROLLERS;
                long downtimeMs = downtimesMs[i];
                simulation.schedule(crashAt + delaysMs[i], () -> simulation.crash(controller, downtimeMs));
            }
        });
        simulation.schedule(crashAt + spreadMs, () -> simulation.network().delayCommandShareUpTo(0, 0));
    }

    private void scheduleOutage(long at) {
        simulation.schedule(at, () -> simulation.store().setOutage(true));
        simulation.schedule(
                at + 1 + random.nextInt(MAX_OUTAGE_MS), () -> simulation.store().setOutage(false));
    }

    /** Delays the direct calls to a machine from the beginning of the round until shortly after its reboot. */
    private void scheduleReboot(long roundAt, long crashAt) {
        int machineChoice = random.nextInt(Integer.MAX_VALUE);
        boolean epochKept = random.nextInt(4) == 0;
        long rebootDelayMs = (long) MIN_REBOOT_DELAY_MS + random.nextInt(REBOOT_DELAY_SPREAD_MS);
        boolean afterCancelLimit = random.nextBoolean() && crashAt + MAX_BURST_MS + cancelLimitMs + rebootDelayMs < end;
        long rebootAt = crashAt + rebootDelayMs + (afterCancelLimit ? MAX_BURST_MS + cancelLimitMs : 0);
        long deliveryDelayMs = random.nextInt(MAX_DELIVERY_DELAY_MS);
        simulation.schedule(roundAt, () -> {
            List<String> machines = simulation.agents().machineIds();
            if (machines.isEmpty()) {
                return;
            }
            String machine = machines.get(machineChoice % machines.size());
            if (simulation.network().isDelayingCommandsTo(machine)) {
                return;
            }
            simulation.network().delayCommandsTo(machine);
            simulation.schedule(rebootAt, () -> simulation.agents().reboot(machine, epochKept));
            simulation.schedule(
                    rebootAt + deliveryDelayMs, () -> simulation.network().deliverDelayedCommands(machine));
        });
    }
}
