package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;

/** What tests of whole controllers assert once a simulation has run. */
final class ClusterAssertions {
    private static final int MIN_STARTS = 20;

    private ClusterAssertions() {}

    /** Asserts that no invariant was violated, no command failed inside a controller, and every service runs. */
    static void assertHealthy(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(List.of(), simulation.invariants().missingReplicas(), "every service runs");
        assertEquals(0, simulation.failedCommands(), "commands that failed inside a controller");
    }

    /** Asserts that users were told of the end of each job, be it done or cancelled. */
    static void assertAllEnded(ClusterSimulation simulation, List<String> jobs) {
        List<String> open = jobs.stream()
                .filter(id -> simulation.invariants().finalPhase(id).isEmpty())
                .toList();
        assertEquals(List.of(), open, "every job has ended");
    }

    /**
     * Asserts, once a test has ended its faults, that the cluster recovers until a time: every request is answered, no
     * job waits though there is room, and at the end everything is healthy and every job of a list has ended.
     */
    static void assertRecovers(ClusterSimulation simulation, List<String> jobs, long end) {
        simulation.invariants().faultsOver(simulation.now());
        while (simulation.now() < end) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
        assertTrue(simulation.invariants().startCount() > MIN_STARTS, "tasks were started");
    }

    /** Asserts that users were told of each job that it is done. */
    static void assertAllDone(ClusterSimulation simulation, List<String> jobs) {
        List<String> notDone = jobs.stream()
                .filter(id -> !simulation.invariants().hasEndedIn("done", id))
                .toList();
        assertEquals(List.of(), notDone, "every job is done");
    }
}
