package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;

/** Assertions of the tests of whole controllers, for use after a simulation has run. */
final class ClusterAssertions {
    private static final int MIN_STARTS = 20;

    private ClusterAssertions() {}

    /** Asserts that no invariant was violated, no command failed inside a controller, and every service runs. */
    static void assertHealthy(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(List.of(), simulation.invariants().missingReplicas(), "all replicas of every service run");
        assertEquals(0, simulation.failedEvents(), "number of events that failed inside a controller");
    }

    /** Asserts that a terminal state, completed or cancelled, was reported to users for each job. */
    static void assertAllEnded(ClusterSimulation simulation, List<String> jobs) {
        List<String> notEnded = jobs.stream()
                .filter(id -> simulation.invariants().terminalState(id).isEmpty())
                .toList();
        assertEquals(List.of(), notEnded, "every job has ended");
    }

    /**
     * Asserts that the cluster recovers after a test has ended its faults. Until the end time every request must be
     * answered, and no job may wait while there is capacity for it. At the end the cluster must be healthy and all
     * given jobs must have ended.
     */
    static void assertRecovers(ClusterSimulation simulation, List<String> jobs, long end) {
        simulation.invariants().endFaults(simulation.now());
        while (simulation.now() < end) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
        assertTrue(simulation.invariants().startCount() > MIN_STARTS, "enough tasks were started");
    }

    /** Asserts that each job was reported to users as completed. */
    static void assertAllCompleted(ClusterSimulation simulation, List<String> jobs) {
        List<String> notCompleted = jobs.stream()
                .filter(id -> !simulation.invariants().hasEndedIn("done", id))
                .toList();
        assertEquals(List.of(), notCompleted, "every job is completed");
    }
}
