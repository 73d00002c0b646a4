package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Bounds the work of a simulated cluster of about 1,700 machines by counters, never by real time. */
class ScaleTest {
    private static final int MACHINES = 1_700;
    private static final int SERVICES = 30;
    private static final int REPLICAS = 50;
    private static final int BURST_JOBS = 60;
    private static final int ARRAYS = 20;
    private static final int TASKS_PER_ARRAY = 10;
    /** Fills a machine of the cheaper type. */
    private static final double CPUS_PER_TASK = 16;

    // Work must not grow quadratically with the fleet: a scheduling pass, a heartbeat or a failover may look at each
    // machine or job once, but not at each pair of them.
    @Test
    void largeFleetRequiresBoundedWorkForStartsAndFailover() {
        ClusterSimulation simulation =
                ClusterSimulation.builder(3).machines(MACHINES).agentStepMs(500).build();
        for (int i = 0; i < SERVICES; i++) {
            String id = JobRequests.id(i);
            simulation.schedule(1_000 + 50 * i, () -> simulation
                    .users()
                    .submitUntilAccepted(JobRequests.service(id, "blue", REPLICAS, CPUS_PER_TASK)));
        }
        simulation.runUntil(60_000);
        assertEquals(
                SERVICES * REPLICAS,
                simulation.invariants().runningTasks().size(),
                "all replicas run after one minute");
        long started = simulation.invariants().startCount();
        assertEquals(SERVICES * REPLICAS, started);
        assertTrue(
                simulation.counter("placement.looks") < 40 * started, simulation.counter("placement.looks") + " looks");
        assertTrue(
                simulation.counter("orders.calls") < 5 * started, simulation.counter("orders.calls") + " direct calls");

        assertSteadyLoadRequiresLittleWork(simulation);
        assertFailoverWithUnresponsiveMachinesKeepsTasks(simulation);
        assertPlanningOfBurstRequiresBoundedWork(simulation);
    }

    // A plan that looks at each machine for each pending task takes seconds, in which the leader would lose its lease.
    private void assertPlanningOfBurstRequiresBoundedWork(ClusterSimulation simulation) {
        long looks = simulation.counter("fleet.looks");
        long plans = simulation.counter("fleet.plans");
        for (int i = 0; i < BURST_JOBS; i++) {
            simulation
                    .users()
                    .submitUntilAccepted(
                            JobRequests.array(JobRequests.id(3000 + i), "blue", REPLICAS, CPUS_PER_TASK, 20));
        }
        simulation.runUntil(simulation.now() + 10_000);
        long perPlan =
                (simulation.counter("fleet.looks") - looks) / Math.max(1, simulation.counter("fleet.plans") - plans);
        // A plan looks at each rented or planned machine at most once per job.
        assertTrue(perPlan > 0 && perPlan < (long) BURST_JOBS * BURST_JOBS * REPLICAS, perPlan + " looks per plan");
        assertEquals(List.of(), simulation.invariants().violations());
    }

    private void assertSteadyLoadRequiresLittleWork(ClusterSimulation simulation) {
        long writes = simulation.counter("store.writes");
        long read = simulation.counter("reports.read");
        for (int i = 0; i < ARRAYS; i++) {
            String id = JobRequests.id(1000 + i);
            simulation.schedule(simulation.now() + 1_000L * i, () -> simulation
                    .users()
                    .submitUntilAccepted(JobRequests.array(id, "blue", TASKS_PER_ARRAY, CPUS_PER_TASK, 10)));
        }
        simulation.runUntil(simulation.now() + 60_000);
        for (int i = 0; i < ARRAYS; i++) {
            assertEquals(Optional.of("done"), simulation.invariants().terminalState(JobRequests.id(1000 + i)));
        }
        long tasks = ARRAYS * TASKS_PER_ARRAY;
        assertTrue(
                simulation.counter("store.writes") - writes < 2 * tasks,
                simulation.counter("store.writes") - writes + " writes");
        // Heartbeats of unchanged machines are compared, not parsed.
        assertTrue(
                simulation.counter("reports.read") - read < 10 * tasks,
                simulation.counter("reports.read") - read + " heartbeats parsed");
    }

    private void assertFailoverWithUnresponsiveMachinesKeepsTasks(ClusterSimulation simulation) {
        List<String> machines = simulation.agents().machineIds();
        List<String> unresponsive = new ArrayList<>();
        for (int i = 0; i < machines.size(); i += 10) {
            unresponsive.add(machines.get(i));
        }
        long before = simulation.invariants().startCount();
        for (int i = 0; i < 3; i++) {
            int controller = i;
            simulation.crash(controller);
            simulation.schedule(simulation.now() + 5_000 + 300L * i, () -> simulation.start(controller));
        }
        unresponsive.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
        simulation.runUntil(simulation.now() + 12_000);
        assertTrue(simulation.hasLeader(), "has a leader");
        assertEquals(
                before,
                simulation.invariants().startCount(),
                "tasks of unresponsive machines are not restarted before their reservation expires");
        // New jobs do not wait for unresponsive machines.
        simulation
                .users()
                .submitUntilAccepted(JobRequests.array("j-002000", "blue", TASKS_PER_ARRAY, CPUS_PER_TASK, 1));
        simulation.runUntil(simulation.now() + 8_000);
        assertEquals(Optional.of("done"), simulation.invariants().terminalState("j-002000"));
        assertTrue(
                simulation.counter("orders.calls") < 6L * machines.size(),
                simulation.counter("orders.calls") + " direct calls");
        simulation.runUntil(simulation.now() + 50_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(0, simulation.failedEvents());
        assertEquals(List.of(), simulation.invariants().missingReplicas(), "restarted after the reservation expires");
        long restarts = simulation.invariants().startCount() - before - TASKS_PER_ARRAY;
        assertTrue(
                restarts <= unresponsive.size(),
                restarts + " replicas restarted for " + unresponsive.size() + " unresponsive machines");
    }
}
