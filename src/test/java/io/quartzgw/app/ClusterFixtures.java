package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;

/** Arranges simulated clusters and their jobs for the tests of whole controllers. */
final class ClusterFixtures {
    /** The lease of agents in a simulation that does not set another. */
    static final long LEASE_MS = 16_000;

    /** How long tasks of a cancelled job may stay in a simulation that sets no other limit. */
    static final long CANCEL_MS = 36_000;

    /** How many services {@link #clusterWithServices} has. */
    static final int SERVICES = 5;

    /** How many replicas these services have together. */
    static final int REPLICAS = 2 * SERVICES;

    private static final long DEFAULT_SEED = 5;
    private static final int CONTROLLERS = 3;
    private static final long SERVICES_SUBMITTED_AT_MS = 1_000;
    private static final long SERVICES_RUNNING_AT_MS = 60_000;
    private static final int FIRST_ARRAY_NUMBER = 300;

    private ClusterFixtures() {}

    /** A cluster of three controllers in which five services of two replicas each run. */
    static ClusterSimulation clusterWithServices() {
        return clusterWithServices(DEFAULT_SEED);
    }

    /** As {@link #clusterWithServices()}, with a seed. */
    static ClusterSimulation clusterWithServices(long seed) {
        return clusterWithServices(new ClusterSimulation(seed, CONTROLLERS));
    }

    /** As {@link #clusterWithServices()}, in a simulation that has just begun. */
    static ClusterSimulation clusterWithServices(ClusterSimulation simulation) {
        scheduleServices(simulation);
        simulation.runUntil(SERVICES_RUNNING_AT_MS);
        assertEquals(REPLICAS, simulation.invariants().runningTasks().size());
        assertEquals(REPLICAS, simulation.invariants().startCount());
        return simulation;
    }

    /** Schedules the submission of five services of two replicas each, soon after the simulation's beginning. */
    static void scheduleServices(ClusterSimulation simulation) {
        for (int i = 0; i < SERVICES; i++) {
            ObjectNode spec = JobRequests.service(JobRequests.id(i), "blue", 2, 2);
            simulation.schedule(
                    SERVICES_SUBMITTED_AT_MS, () -> simulation.users().submitUntilAccepted(spec));
        }
    }

    /** Submits equal arrays at once, and returns their ids. */
    static List<String> submitArrays(ClusterSimulation simulation, int jobs, int tasks, double runS, String team) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            String id = JobRequests.id(FIRST_ARRAY_NUMBER + i);
            ids.add(id);
            simulation.users().submitUntilAccepted(JobRequests.array(id, team, tasks, 4, runS));
        }
        return ids;
    }

    /** The first half of the machines, rounded up. */
    static List<String> firstHalf(List<String> machines) {
        return machines.subList(0, (machines.size() + 1) / 2);
    }
}
