package io.quartzgw.app;

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

/** Five controllers on a state service that takes few changes and holds small values. */
class FiveControllersTest {
    private static final int CONTROLLERS = 5;
    private static final int MACHINES = 40;
    private static final AgentTiming TIMING = new AgentTiming(2_500, 14_000, 44_000);
    private static final StoreLimits LIMITS = new StoreLimits(100, 15, 4096, 12);

    private static ClusterSimulation simulation(long seed) {
        return ClusterSimulation.builder(seed)
                .controllers(CONTROLLERS)
                .machines(MACHINES)
                .agentStepMs(100)
                .timing(TIMING)
                .storeLimits(LIMITS)
                .build();
    }

    /** Five services at once, and arrays one after the other. */
    private static List<String> load(ClusterSimulation simulation, int arrayCount, int tasks, long pauseMs) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < arrayCount; i++) {
            ObjectNode spec = FailureTest.job(String.format("j-%06d", 100 + i), "blue", "array", tasks, 4, 8);
            arrays.add(spec.path("id").asText());
            simulation.schedule(5_000 + pauseMs * i, () -> simulation.users().submitUntilAccepted(spec));
        }
        for (int i = 0; i < ScenarioTest.SERVICES; i++) {
            ObjectNode spec = FailureTest.job("j-00000" + i, "blue", "daemon", 2, 2, 0);
            simulation.schedule(1_000, () -> simulation.users().submitUntilAccepted(spec));
        }
        return arrays;
    }

    private static void assertServed(ClusterSimulation simulation, List<String> arrays) {
        assertEquals(List.of(), simulation.invariants().violations());
        arrays.forEach(
                id -> assertEquals(Optional.of("done"), simulation.invariants().finalPhase(id), id));
        assertEquals(
                ScenarioTest.SERVICES * 2,
                simulation.invariants().runningTasks().size(),
                "replicas run, and nothing else");
        assertEquals(0, simulation.failedCommands());
    }

    // Guards the limit of changes that all controllers share, and what has to be done within it.
    @Test
    void aSmallStateServiceRefusesNothingAndAllIsDone() {
        ClusterSimulation simulation = simulation(1);
        List<String> arrays = load(simulation, 200, 2, 20);
        simulation.runChecked(120_000);
        assertEquals(0, simulation.store().rejectedTransactions(), "together they stay within the limit");
        assertServed(simulation, arrays);
    }

    // Guards what waits for every other controller: with one or two of them away all goes on, also through the loss of
    // the leader.
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void allGoesOnWithControllersAway(int away) {
        ClusterSimulation simulation = simulation(10 + away);
        List<String> arrays = load(simulation, 30, 10, 2_000);
        simulation.runChecked(30_000);
        for (int i = 0; i < away; i++) {
            simulation.crash((simulation.leader() + 1 + i) % CONTROLLERS);
        }
        simulation.runChecked(20_000);
        simulation.crash(simulation.leader(), 6_000);
        simulation.runChecked(110_000);
        assertServed(simulation, arrays);
    }

    // The same with controllers that run and reach nobody.
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void allGoesOnWithControllersCutOff(int away) {
        ClusterSimulation simulation = simulation(20 + away);
        List<String> arrays = load(simulation, 30, 10, 2_000);
        simulation.runChecked(30_000);
        int leader = simulation.leader();
        List<Integer> cutOff = new ArrayList<>();
        for (int i = 0; i < away; i++) {
            // The leader itself is one of them.
            cutOff.add((leader + i) % CONTROLLERS);
        }
        cutOff.forEach(node -> simulation.network().partition(Hosts.controller(node), Hosts.ALL));
        simulation.runChecked(40_000);
        assertTrue(simulation.hasLeader() && !cutOff.contains(simulation.leader()), "another one leads");
        simulation.runChecked(90_000);
        assertServed(simulation, arrays);
    }
}
