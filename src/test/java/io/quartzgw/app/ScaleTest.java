package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Some 1,700 machines in the simulated simulation; what is bounded is counted work, never time on a clock. */
class ScaleTest {
    private static final int MACHINES = 1_700;
    private static final int SERVICES = 30;
    private static final int REPLICAS = 50;
    private static final int BURST = 60;
    private static final int ARRAYS = 20;
    private static final int TASKS = 10;
    /** A task of this size fills a machine of the cheaper type. */
    private static final double CPUS = 16;

    private long of(ClusterSimulation simulation, String count) {
        return simulation.counters().getOrDefault(count, 0L);
    }

    // Guards against work that grows with the square of the fleet: a pass, a report or a takeover may look at
    // every machine or job now and then, but not for each other one.
    @Test
    void aLargeFleetStartsRunsAndIsTakenOverWithBoundedWork() {
        ClusterSimulation simulation =
                ClusterSimulation.builder(3).machines(MACHINES).agentStepMs(500).build();
        for (int i = 0; i < SERVICES; i++) {
            String id = String.format("j-%06d", i);
            simulation.schedule(1_000 + 50 * i, () -> simulation
                    .users()
                    .submitUntilAccepted(FailureTest.job(id, "blue", "daemon", REPLICAS, CPUS, 0)));
        }
        simulation.runUntil(60_000);
        assertEquals(
                SERVICES * REPLICAS,
                simulation.invariants().runningTasks().size(),
                "every replica is up within a minute");
        long started = simulation.invariants().startCount();
        assertEquals(SERVICES * REPLICAS, started);
        assertTrue(of(simulation, "placement.looks") < 40 * started, of(simulation, "placement.looks") + " looks");
        assertTrue(of(simulation, "orders.calls") < 5 * started, of(simulation, "orders.calls") + " orders");

        steadyLoadCostsLittle(simulation);
        aTakeoverAmongSilentMachinesKeepsWhatRuns(simulation);
        aBurstThatHasNoRoomIsPlannedWithBoundedWork(simulation);
    }

    // Guards the leader's hold: a plan that looks at each machine for each waiting task takes seconds.
    private void aBurstThatHasNoRoomIsPlannedWithBoundedWork(ClusterSimulation simulation) {
        long looks = of(simulation, "fleet.looks");
        long plans = of(simulation, "fleet.plans");
        for (int i = 0; i < BURST; i++) {
            simulation
                    .users()
                    .submitUntilAccepted(
                            FailureTest.job(String.format("j-%06d", 3000 + i), "blue", "array", REPLICAS, CPUS, 20));
        }
        simulation.runUntil(simulation.now() + 10_000);
        long perPlan = (of(simulation, "fleet.looks") - looks) / Math.max(1, of(simulation, "fleet.plans") - plans);
        // Every job looks at every machine that is coming or wanted once at the most.
        assertTrue(perPlan > 0 && perPlan < (long) BURST * BURST * REPLICAS, perPlan + " looks a plan");
        assertEquals(List.of(), simulation.invariants().violations());
    }

    private void steadyLoadCostsLittle(ClusterSimulation simulation) {
        long writes = of(simulation, "store.writes");
        long read = of(simulation, "reports.read");
        for (int i = 0; i < ARRAYS; i++) {
            String id = String.format("j-%06d", 1000 + i);
            simulation.schedule(simulation.now() + 1_000 * i, () -> simulation
                    .users()
                    .submitUntilAccepted(FailureTest.job(id, "blue", "array", TASKS, CPUS, 10)));
        }
        simulation.runUntil(simulation.now() + 60_000);
        for (int i = 0; i < ARRAYS; i++) {
            assertEquals(Optional.of("done"), simulation.invariants().finalPhase(String.format("j-%06d", 1000 + i)));
        }
        long tasks = ARRAYS * TASKS;
        assertTrue(
                of(simulation, "store.writes") - writes < 2 * tasks,
                of(simulation, "store.writes") - writes + " changes");
        // Machines that run nothing new have their reports compared, not read.
        assertTrue(
                of(simulation, "reports.read") - read < 10 * tasks,
                of(simulation, "reports.read") - read + " reports read");
    }

    private void aTakeoverAmongSilentMachinesKeepsWhatRuns(ClusterSimulation simulation) {
        List<String> machines = simulation.agents().machineIds();
        List<String> silent = new ArrayList<>();
        for (int i = 0; i < machines.size(); i += 10) {
            silent.add(machines.get(i));
        }
        long before = simulation.invariants().startCount();
        for (int i = 0; i < 3; i++) {
            int node = i;
            simulation.crash(node);
            simulation.schedule(simulation.now() + 5_000 + 300L * i, () -> simulation.start(node));
        }
        silent.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
        simulation.runUntil(simulation.now() + 12_000);
        assertTrue(simulation.hasLeader(), "somebody leads");
        assertEquals(
                before,
                simulation.invariants().startCount(),
                "what a silent machine may hold is not started anew before its hold ends");
        // New work does not wait for the silent.
        simulation.users().submitUntilAccepted(FailureTest.job("j-002000", "blue", "array", TASKS, CPUS, 1));
        simulation.runUntil(simulation.now() + 8_000);
        assertEquals(Optional.of("done"), simulation.invariants().finalPhase("j-002000"));
        assertTrue(
                of(simulation, "orders.calls") < 6L * machines.size(),
                of(simulation, "orders.calls") + " calls to ask the machines");
        simulation.runUntil(simulation.now() + 50_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(0, simulation.failedCommands());
        assertEquals(List.of(), simulation.invariants().missingReplicas(), "placed again after the hold");
        long again = simulation.invariants().startCount() - before - TASKS;
        assertTrue(
                again <= silent.size(),
                again + " replicas were started anew for " + silent.size() + " silent machines");
    }
}
