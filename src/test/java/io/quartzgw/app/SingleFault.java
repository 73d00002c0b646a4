package io.quartzgw.app;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.slf4j.LoggerFactory;

/** Faults that are injected one after the other. Random runs select them by ordinal: keep their order. */
enum SingleFault {
    CONTROLLER_CRASHES((simulation, event) -> simulation.crash(event.controller, 5_000)),
    ALL_CONTROLLERS_CRASH(SingleFault::crashAllControllers),
    STORE_OUTAGE(SingleFault::storeOutage),
    CONTROLLER_IS_PARTITIONED_FROM_A_HOST(
            (simulation, event) -> partition(simulation, event, Hosts.controller(event.controller), event.otherHost)),
    MACHINE_IS_PARTITIONED((simulation, event) ->
            event.machine(simulation).ifPresent(machine -> partition(simulation, event, machine, Hosts.ALL))),
    MACHINE_HANGS(SingleFault::hangMachine),
    MACHINE_CRASHES((simulation, event) ->
            event.machine(simulation).ifPresent(machine -> simulation.cloud().fail(machine, event.time))),
    INBOUND_MESSAGES_OF_MACHINES_ARE_BLOCKED(SingleFault::blockInboundOfHalfTheMachines),
    CONTROLLER_IS_BACK_AT_ONCE((simulation, event) -> simulation.crash(event.controller, 100 + event.durationMs % 400)),
    CONTROLLERS_CRASH_DURING_AN_ELECTION(SingleFault::crashTwoControllersInSequence),
    MACHINE_REBOOTS((simulation, event) ->
            event.machine(simulation).ifPresent(machine -> simulation.agents().reboot(machine, event.isEven()))),
    CONTROLLER_IS_PARTITIONED_FROM_ITS_PEERS(SingleFault::partitionFromPeersAndStore);

    private static final int CONTROLLERS = 3;
    private static final long FIRST_START_MS = 20_000;
    private static final long LAST_START_MS = 180_000;

    @SuppressWarnings("ImmutableEnumChecker") // References to static methods have no state.
    private final BiConsumer<ClusterSimulation, Event> injection;

    SingleFault(BiConsumer<ClusterSimulation, Event> injection) {
        this.injection = injection;
    }

    /**
     * One injection of a fault.
     *
     * @param otherHost the host that the controller is partitioned from, if the fault is such a partition
     */
    private record Event(long time, long durationMs, int controller, String otherHost) {
        long end() {
            return time + durationMs;
        }

        boolean isEven() {
            return durationMs % 2 == 0;
        }

        Optional<String> machine(ClusterSimulation simulation) {
            List<String> machines = simulation.agents().machineIds();
            return machines.isEmpty() ? Optional.empty() : Optional.of(machines.get((int) (time % machines.size())));
        }
    }

    /** Schedules random faults, one after the other. */
    static void scheduleAll(ClusterSimulation simulation, SplittableRandom random) {
        for (long time = FIRST_START_MS; time < LAST_START_MS; time += 8_000 + random.nextInt(12_000)) {
            long durationMs = 2_000L + random.nextInt(28_000);
            int controller = random.nextInt(CONTROLLERS);
            String otherHost = List.of(
                            Hosts.controller(0),
                            Hosts.controller(1),
                            Hosts.controller(2),
                            Hosts.STORE,
                            Hosts.CLOUD,
                            Hosts.ALL)
                    .get(random.nextInt(6));
            SingleFault fault = values()[random.nextInt(values().length)];
            Event event = new Event(time, durationMs, controller, otherHost);
            simulation.schedule(time, () -> {
                LoggerFactory.getLogger(SingleFault.class).info("{}: {}", fault, event);
                fault.injection.accept(simulation, event);
            });
        }
    }

    private static void crashAllControllers(ClusterSimulation simulation, Event event) {
        for (int i = 0; i < CONTROLLERS; i++) {
            simulation.crash(i, 4_000 + 700L * i);
        }
    }

    private static void storeOutage(ClusterSimulation simulation, Event event) {
        simulation.store().setOutage(true);
        simulation.schedule(event.end(), () -> simulation.store().setOutage(false));
    }

    private static void partition(ClusterSimulation simulation, Event event, String one, String other) {
        simulation.network().partition(one, other);
        simulation.schedule(event.end(), () -> simulation.network().heal(one, other));
    }

    private static void hangMachine(ClusterSimulation simulation, Event event) {
        event.machine(simulation).ifPresent(machine -> {
            simulation.agents().setHanging(machine, true);
            simulation.schedule(event.end(), () -> simulation.agents().setHanging(machine, false));
        });
    }

    private static void blockInboundOfHalfTheMachines(ClusterSimulation simulation, Event event) {
        for (String machine : ClusterFixtures.firstHalf(simulation.agents().machineIds())) {
            simulation.network().setInboundBlocked(machine, true);
            simulation.schedule(event.end(), () -> simulation.network().setInboundBlocked(machine, false));
        }
    }

    /** Crashes a controller, and restarts a possible candidate during the election that follows. */
    private static void crashTwoControllersInSequence(ClusterSimulation simulation, Event event) {
        simulation.crash(event.controller, 200);
        int next = (event.controller + 1) % CONTROLLERS;
        simulation.schedule(
                event.time + 3_900 + event.durationMs % 300,
                () -> simulation.crash(next, 100 + event.durationMs % 200));
    }

    private static void partitionFromPeersAndStore(ClusterSimulation simulation, Event event) {
        String controller = Hosts.controller(event.controller);
        for (String host : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2), Hosts.STORE)) {
            if (!host.equals(controller)) {
                partition(simulation, event, controller, host);
            }
        }
    }
}
