package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;

/** Sets up simulated clusters and their jobs for the tests of whole controllers. */
final class ClusterFixtures {
    /** Default lease of agents in a simulation. */
    static final long AGENT_LEASE_MS = 16_000;

    /** Default limit in a simulation for stopping the tasks of a cancelled job. */
    static final long CANCEL_LIMIT_MS = 36_000;

    /** Number of services of {@link #clusterWithServices}. */
    static final int SERVICES = 5;

    /** Total number of replicas of these services. */
    static final int REPLICAS = 2 * SERVICES;

    private static final long DEFAULT_SEED = 5;
    private static final int CONTROLLERS = 3;
    private static final long SERVICES_SUBMITTED_AT_MS = 1_000;
    private static final long SERVICES_RUNNING_AT_MS = 60_000;
    private static final int FIRST_ARRAY_NUMBER = 300;

    private ClusterFixtures() {}

    /** Returns a cluster of three controllers that runs five services of two replicas each. */
    static ClusterSimulation clusterWithServices() {
        return clusterWithServices(DEFAULT_SEED);
    }

    /** As {@link #clusterWithServices()}, with a seed. */
    static ClusterSimulation clusterWithServices(long seed) {
        return clusterWithServices(new ClusterSimulation(seed, CONTROLLERS));
    }

    /** As {@link #clusterWithServices()}, in a given simulation that has not run yet. */
    static ClusterSimulation clusterWithServices(ClusterSimulation simulation) {
        scheduleServices(simulation);
        simulation.runUntil(SERVICES_RUNNING_AT_MS);
        assertEquals(REPLICAS, simulation.invariants().runningTasks().size());
        assertEquals(REPLICAS, simulation.invariants().startCount());
        return simulation;
    }

    /** Schedules the submission of five services of two replicas each, one second after the start of the simulation. */
    static void scheduleServices(ClusterSimulation simulation) {
        for (int i = 0; i < SERVICES; i++) {
            ObjectNode spec = JobRequests.service(JobRequests.id(i), "blue", 2, 2);
            simulation.schedule(
                    SERVICES_SUBMITTED_AT_MS, () -> simulation.users().submitUntilAccepted(spec));
        }
    }

    /** Submits several equal arrays at the same time, and returns their ids. */
    static List<String> submitArrays(ClusterSimulation simulation, int jobs, int tasks, double runtimeS, String team) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            String id = JobRequests.id(FIRST_ARRAY_NUMBER + i);
            ids.add(id);
            simulation.users().submitUntilAccepted(JobRequests.array(id, team, tasks, 4, runtimeS));
        }
        return ids;
    }

    /** Returns the first half of the machines, rounded up. */
    static List<String> firstHalf(List<String> machines) {
        return machines.subList(0, (machines.size() + 1) / 2);
    }
}
