package io.quartzgw.app;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.slf4j.LoggerFactory;

/** Faults that operators have seen and that may overlap. Random runs select them by ordinal: keep their order. */
enum ConcurrentFault {
    STORE_REJECTS_THE_LEADER_THEN_EVERYBODY(ConcurrentFault::rejectLeaderThenAllControllers),
    STORE_IS_SLOW(ConcurrentFault::slowStore),
    TRANSACTION_RESPONSES_ARE_LOST(ConcurrentFault::loseTransactionResponses),
    HEARTBEATS_ARE_BLOCKED(ConcurrentFault::blockHeartbeatsOfHalfTheMachines),
    COMMANDS_ARE_DELAYED(ConcurrentFault::delayCommands),
    JOBS_ARE_CANCELLED_WHILE_MACHINES_HANG(
            (simulation, event) -> simulation.cancelRunningJobsWhileMachinesHang(8, event.randomValue * 25L)),
    JOBS_ARE_CANCELLED_AT_THEIR_END(ConcurrentFault::cancelAtLastTaskEnd),
    INVALID_REQUESTS((simulation, event) -> simulation.users().sendInvalidRequests()),
    LEADERS_CRASH_AGAIN_AND_AGAIN(ConcurrentFault::crashLeadersRepeatedly),
    ALL_CONTROLLERS_CRASH(ConcurrentFault::crashAllControllers),
    STORE_REJECTS_THE_LEADER(ConcurrentFault::rejectLeader),
    LEADER_IS_PARTITIONED_AND_JOBS_ARE_CANCELLED(ConcurrentFault::partitionLeaderAndCancel),
    LEADER_CRASHES_WHILE_MACHINES_ARE_PARTITIONED(ConcurrentFault::crashLeaderWhileMachinesArePartitioned),
    LEADER_CRASHES_WHILE_INBOUND_MESSAGES_ARE_BLOCKED(ConcurrentFault::crashLeaderWhileInboundIsBlocked),
    CONTROLLER_IS_PAUSED(ConcurrentFault::pauseController);

    /** The time by which all faults have ended. */
    static final long FAULTS_END_MS = 215_000;

    private static final int CONTROLLERS = 3;
    private static final long FIRST_START_MS = 15_000;
    private static final long LAST_START_MS = 180_000;
    private static final int RANDOM_VALUE_BOUND = 1_000;

    @SuppressWarnings("ImmutableEnumChecker") // References to static methods have no state.
    private final BiConsumer<ClusterSimulation, Event> injection;

    ConcurrentFault(BiConsumer<ClusterSimulation, Event> injection) {
        this.injection = injection;
    }

    /**
     * One injection of a fault.
     *
     * @param randomValue a random number from which a fault derives its parameters
     * @param leader the leader at that time, or the first controller if there is none
     */
    private record Event(long time, long durationMs, int randomValue, int leader) {
        long end() {
            return time + durationMs;
        }
    }

    /** Schedules random faults that may overlap. */
    static void scheduleAll(ClusterSimulation simulation, SplittableRandom random) {
        for (long at = FIRST_START_MS; at < LAST_START_MS; at += 3_000 + random.nextInt(14_000)) {
            long time = at;
            long durationMs = Math.min(2_000 + random.nextInt(58_000), FAULTS_END_MS - time);
            ConcurrentFault fault = values()[random.nextInt(values().length)];
            int randomValue = random.nextInt(RANDOM_VALUE_BOUND);
            simulation.schedule(time, () -> {
                Event event = new Event(time, durationMs, randomValue, simulation.leaderOrFirst());
                LoggerFactory.getLogger(ConcurrentFault.class).info("{}: {}", fault, event);
                fault.injection.accept(simulation, event);
            });
        }
    }

    private static void cancelJobsAt(ClusterSimulation simulation, long time, int count) {
        simulation.schedule(time, () -> simulation.users().cancelRunningJobs(count));
    }

    private static void storeOutage(ClusterSimulation simulation, long end) {
        simulation.store().setOutage(true);
        simulation.schedule(end, () -> simulation.store().setOutage(false));
    }

    private static void rejectLeaderThenAllControllers(ClusterSimulation simulation, Event event) {
        rejectLeader(simulation, event);
        simulation.schedule(event.time + event.randomValue * 4L, () -> storeOutage(simulation, event.end()));
        cancelJobsAt(simulation, event.time + event.randomValue * 2L, 4);
    }

    private static void rejectLeader(ClusterSimulation simulation, Event event) {
        simulation.setStoreRejects(event.leader, true);
        simulation.schedule(event.end(), () -> simulation.setStoreRejects(event.leader, false));
    }

    private static void slowStore(ClusterSimulation simulation, Event event) {
        simulation.network().delayStoreUpTo(4L * event.randomValue);
        simulation.schedule(event.end(), () -> simulation.network().delayStoreUpTo(0));
    }

    private static void loseTransactionResponses(ClusterSimulation simulation, Event event) {
        simulation.network().loseTransactionResponses(0.3);
        simulation.schedule(event.end(), () -> simulation.network().loseTransactionResponses(0));
        cancelJobsAt(simulation, event.time + event.randomValue, 6);
    }

    private static void blockHeartbeatsOfHalfTheMachines(ClusterSimulation simulation, Event event) {
        for (String machine : ClusterFixtures.firstHalf(simulation.agents().machineIds())) {
            simulation.network().setHeartbeatsBlocked(machine, true);
            simulation.schedule(event.end(), () -> simulation.network().setHeartbeatsBlocked(machine, false));
        }
    }

    private static void delayCommands(ClusterSimulation simulation, Event event) {
        simulation.network().delayCommandShare(0.4);
        simulation.schedule(event.end(), () -> simulation.network().delayCommandShare(0));
    }

    private static void cancelAtLastTaskEnd(ClusterSimulation simulation, Event event) {
        simulation.users().cancelJobsAtLastTaskEnd(0.5);
        simulation.schedule(event.end(), () -> simulation.users().cancelJobsAtLastTaskEnd(0));
    }

    /** Crashes leaders every 4 seconds, in some runs also during an outage of the state service. */
    private static void crashLeadersRepeatedly(ClusterSimulation simulation, Event event) {
        for (long time = event.time; time < Math.min(event.time + 40_000, event.end()); time += 4_000) {
            simulation.schedule(
                    time, () -> simulation.crash(simulation.leaderOrFirst(), 200 + event.randomValue % 3_000));
        }
        if (event.randomValue % 3 == 0) {
            simulation.schedule(
                    event.time + 10_000, () -> storeOutage(simulation, Math.min(event.time + 25_000, event.end())));
        }
    }

    private static void crashAllControllers(ClusterSimulation simulation, Event event) {
        for (int i = 0; i < CONTROLLERS; i++) {
            simulation.crash(i, event.durationMs + 300L * i);
        }
    }

    private static void partitionLeaderAndCancel(ClusterSimulation simulation, Event event) {
        String leader = Hosts.controller(event.leader);
        for (String host : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2), Hosts.STORE)) {
            if (!host.equals(leader)) {
                simulation.network().partition(leader, host);
                simulation.schedule(event.end(), () -> simulation.network().heal(leader, host));
            }
        }
        cancelJobsAt(simulation, event.time + 5_000 + event.randomValue, 4);
    }

    private static void crashLeaderWhileMachinesArePartitioned(ClusterSimulation simulation, Event event) {
        List<String> machines = simulation.agents().machineIds();
        for (String machine : machines.subList(0, (machines.size() + 2) / 3)) {
            simulation.network().partition(machine, Hosts.ALL);
            simulation.schedule(event.end(), () -> simulation.network().heal(machine, Hosts.ALL));
        }
        simulation.schedule(event.time + event.randomValue, () -> simulation.crash(event.leader, 1_000));
        cancelJobsAt(simulation, event.time + 2L * event.randomValue, 4);
    }

    private static void crashLeaderWhileInboundIsBlocked(ClusterSimulation simulation, Event event) {
        List<String> machines = simulation.agents().machineIds();
        if (machines.isEmpty()) {
            return;
        }
        String machine = machines.get(event.randomValue % machines.size());
        simulation.network().setInboundBlocked(machine, true);
        simulation.schedule(event.end(), () -> simulation.network().setInboundBlocked(machine, false));
        simulation.schedule(event.time + event.randomValue, () -> simulation.crash(event.leader, event.randomValue));
    }

    private static void pauseController(ClusterSimulation simulation, Event event) {
        int controller = event.randomValue % 2 == 0 ? event.leader : event.randomValue % CONTROLLERS;
        simulation.pauseController(controller, event.durationMs);
        cancelJobsAt(simulation, event.time + event.durationMs / 2, 4);
    }
}
