package io.quartzgw.app;

import static io.quartzgw.app.ClusterFixtures.REPLICAS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs five controllers with a state service that limits the rate of changes and the size of values. */
class FiveControllersTest {
    private static final int CONTROLLERS = 5;
    private static final int MACHINES = 40;
    private static final AgentTiming TIMING = new AgentTiming(2_500, 14_000, 44_000);
    private static final StoreLimits STORE_LIMITS = new StoreLimits(100, 15, 4096, 12);

    private static ClusterSimulation clusterWithLimits(long seed) {
        return ClusterSimulation.builder(seed)
                .controllers(CONTROLLERS)
                .machines(MACHINES)
                .agentStepMs(100)
                .timing(TIMING)
                .storeLimits(STORE_LIMITS)
                .build();
    }

    /** Schedules five services at the same time and arrays at an interval; returns the ids of the arrays. */
    private static List<String> scheduleLoad(ClusterSimulation simulation, int arrayCount, int tasks, long intervalMs) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < arrayCount; i++) {
            ObjectNode spec = JobRequests.array(JobRequests.id(100 + i), "blue", tasks, 4, 8);
            arrays.add(spec.path("id").asText());
            simulation.schedule(5_000 + intervalMs * i, () -> simulation.users().submitUntilAccepted(spec));
        }
        ClusterFixtures.scheduleServices(simulation);
        return arrays;
    }

    /** Runs for half of the time in which jobs are submitted; returns the ids of all arrays. */
    private static List<String> runUnderLoad(ClusterSimulation simulation) {
        List<String> arrays = scheduleLoad(simulation, 30, 10, 2_000);
        simulation.runChecked(30_000);
        return arrays;
    }

    private static void assertArraysCompletedAndReplicasRun(ClusterSimulation simulation, List<String> arrays) {
        assertEquals(List.of(), simulation.invariants().violations());
        arrays.forEach(
                id -> assertEquals(Optional.of("done"), simulation.invariants().terminalState(id), id));
        assertEquals(REPLICAS, simulation.invariants().runningTasks().size(), "all replicas run, and no other tasks");
        assertEquals(0, simulation.failedEvents());
    }

    // All controllers share the rate limit for changes. All jobs must complete within it.
    @Test
    void completesAllJobsWithinLowStoreLimits() {
        ClusterSimulation simulation = clusterWithLimits(1);
        List<String> arrays = scheduleLoad(simulation, 200, 2, 20);
        simulation.runChecked(120_000);
        assertEquals(
                0, simulation.store().rejectedTransactions(), "all controllers together stay within the rate limit");
        assertArraysCompletedAndReplicasRun(simulation, arrays);
    }

    // No operation may require all controllers: jobs complete with one or two controllers down, also when the leader
    // crashes.
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void completesJobsWithControllersDown(int count) {
        ClusterSimulation simulation = clusterWithLimits(10 + count);
        List<String> arrays = runUnderLoad(simulation);
        for (int i = 0; i < count; i++) {
            simulation.crash((simulation.leader() + 1 + i) % CONTROLLERS);
        }
        simulation.runChecked(20_000);
        simulation.crash(simulation.leader(), 6_000);
        simulation.runChecked(110_000);
        assertArraysCompletedAndReplicasRun(simulation, arrays);
    }

    // As above, with controllers that run but reach no other host.
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void completesJobsWithControllersPartitioned(int count) {
        ClusterSimulation simulation = clusterWithLimits(20 + count);
        List<String> arrays = runUnderLoad(simulation);
        int leader = simulation.leader();
        List<Integer> partitioned = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            // The first partitioned controller is the leader.
            partitioned.add((leader + i) % CONTROLLERS);
        }
        partitioned.forEach(controller -> simulation.network().partition(Hosts.controller(controller), Hosts.ALL));
        simulation.runChecked(40_000);
        assertTrue(simulation.hasLeader() && !partitioned.contains(simulation.leader()), "another controller leads");
        simulation.runChecked(90_000);
        assertArraysCompletedAndReplicasRun(simulation, arrays);
    }
}
