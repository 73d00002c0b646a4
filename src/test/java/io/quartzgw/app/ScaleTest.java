package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Some 1,700 machines in the simulated world; what is bounded is counted work, never time on a clock. */
class ScaleTest {
    private static final int MACHINES = 1_700;
    private static final int SERVICES = 30;
    private static final int REPLICAS = 50;
    private static final int BURST = 60;
    private static final int ARRAYS = 20;
    private static final int TASKS = 10;
    /** A task of this size fills a machine of the cheaper type. */
    private static final double CPUS = 16;

    private long of(ClusterSimulation world, String count) {
        return world.counts().getOrDefault(count, 0L);
    }

    // Guards against work that grows with the square of the fleet: a pass, a report or a takeover may look at
    // every machine or job now and then, but not for each other one.
    @Test
    void aLargeFleetStartsRunsAndIsTakenOverWithBoundedWork() {
        ClusterSimulation world = new ClusterSimulation(3, 3, MACHINES, 500);
        for (int i = 0; i < SERVICES; i++) {
            String id = String.format("j-%06d", i);
            world.at(1_000 + 50 * i, () -> world.job(FailureTest.job(id, "blue", "daemon", REPLICAS, CPUS, 0), null));
        }
        world.runUntil(60_000);
        assertEquals(
                SERVICES * REPLICAS, world.invariants.runningTasks().size(), "every replica is up within a minute");
        long started = world.invariants.started();
        assertEquals(SERVICES * REPLICAS, started);
        assertTrue(of(world, "placement.looks") < 40 * started, of(world, "placement.looks") + " looks");
        assertTrue(of(world, "orders.calls") < 5 * started, of(world, "orders.calls") + " orders");

        steadyLoadCostsLittle(world);
        aTakeoverAmongSilentMachinesKeepsWhatRuns(world);
        aBurstThatHasNoRoomIsPlannedWithBoundedWork(world);
    }

    // Guards the leader's hold: a plan that looks at each machine for each waiting task takes seconds.
    private void aBurstThatHasNoRoomIsPlannedWithBoundedWork(ClusterSimulation world) {
        long looks = of(world, "fleet.looks");
        long plans = of(world, "fleet.plans");
        for (int i = 0; i < BURST; i++) {
            world.job(FailureTest.job(String.format("j-%06d", 3000 + i), "blue", "array", REPLICAS, CPUS, 20), null);
        }
        world.runUntil(world.now() + 10_000);
        long perPlan = (of(world, "fleet.looks") - looks) / Math.max(1, of(world, "fleet.plans") - plans);
        // Every job looks at every machine that is coming or wanted once at the most.
        assertTrue(perPlan > 0 && perPlan < (long) BURST * BURST * REPLICAS, perPlan + " looks a plan");
        assertEquals(List.of(), world.invariants.broken());
    }

    private void steadyLoadCostsLittle(ClusterSimulation world) {
        long writes = of(world, "store.writes");
        long read = of(world, "reports.read");
        for (int i = 0; i < ARRAYS; i++) {
            String id = String.format("j-%06d", 1000 + i);
            world.at(
                    world.now() + 1_000 * i,
                    () -> world.job(FailureTest.job(id, "blue", "array", TASKS, CPUS, 10), null));
        }
        world.runUntil(world.now() + 60_000);
        for (int i = 0; i < ARRAYS; i++) {
            assertEquals("done", world.invariants.finalPhase(String.format("j-%06d", 1000 + i)));
        }
        long tasks = ARRAYS * TASKS;
        assertTrue(of(world, "store.writes") - writes < 2 * tasks, of(world, "store.writes") - writes + " changes");
        // Machines that run nothing new have their reports compared, not read.
        assertTrue(of(world, "reports.read") - read < 10 * tasks, of(world, "reports.read") - read + " reports read");
    }

    private void aTakeoverAmongSilentMachinesKeepsWhatRuns(ClusterSimulation world) {
        List<String> machines = world.machines();
        List<String> silent = new ArrayList<>();
        for (int i = 0; i < machines.size(); i += 10) {
            silent.add(machines.get(i));
        }
        long before = world.invariants.started();
        for (int i = 0; i < 3; i++) {
            int node = i;
            world.crash(node);
            world.at(world.now() + 5_000 + 300L * i, () -> world.start(node));
        }
        silent.forEach(machine -> world.cut(machine, "*"));
        world.runUntil(world.now() + 12_000);
        assertTrue(world.leader() >= 0, "somebody leads");
        assertEquals(
                before,
                world.invariants.started(),
                "what a silent machine may hold is not started anew before its hold ends");
        // New work does not wait for the silent.
        world.job(FailureTest.job("j-002000", "blue", "array", TASKS, CPUS, 1), null);
        world.runUntil(world.now() + 8_000);
        assertEquals("done", world.invariants.finalPhase("j-002000"));
        assertTrue(
                of(world, "orders.calls") < 6L * machines.size(),
                of(world, "orders.calls") + " calls to ask the machines");
        world.runUntil(world.now() + 50_000);
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(0, world.failures());
        assertEquals(List.of(), world.invariants.missingReplicas(), "placed again after the hold");
        long again = world.invariants.started() - before - TASKS;
        assertTrue(
                again <= silent.size(),
                again + " replicas were started anew for " + silent.size() + " silent machines");
    }
}
