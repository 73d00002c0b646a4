package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.REPLICAS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a paused leader that is not replaced: once every machine lost all its tasks, because no leader
 * answered heartbeats for 56 seconds.
 *
 * <p>Sequence: the leader is paused. The state service is unavailable for two of every three seconds. After each outage
 * every lease has its full duration again, so the leader's lease never expires. The other controllers see a leader
 * record and start no election, and the agents' leases expire.
 */
class LeaderDepositionTest {
    private static final int CONTROLLERS = 3;
    private static final long PAUSE_MS = 56_000;
    private static final long FAILOVER_LIMIT_MS = 20_000;
    private static final long OBSERVATION_MS = 120_000;

    private final ClusterSimulation simulation = clusterWithServices();

    @ParameterizedTest
    @ValueSource(longs = {0, 700, 1_400, 2_100})
    void electsNewLeaderWhilePausedLeadersLeaseStaysValid(long storeSteadyMs) {
        int paused = simulation.leader();
        long end = simulation.now() + PAUSE_MS;
        simulation.pauseController(paused, PAUSE_MS);
        simulation.schedule(simulation.now() + storeSteadyMs, () -> simulation.makeStoreIntermittent(end));
        simulation.runChecked(FAILOVER_LIMIT_MS);
        assertNotEquals(paused, simulation.leader(), "another controller leads");
        assertEquals("{\"term\":4096}", simulation.store().value("lead/deposed").toString());
        assertEquals(1, simulation.counter("leadership.depositions"));
        simulation.runChecked(PAUSE_MS + OBSERVATION_MS);
        assertHealthy(simulation);
        assertEquals(REPLICAS, simulation.invariants().startCount(), "no agent's lease has expired");
    }

    /**
     * The leader renews its lease and starts tasks on the machines that only it reaches, until the state service
     * rejects it, possibly between its last renewal and its deposition. It must be replaced exactly once. The two
     * leaders must never start tasks at the same time, although the deposed one may still consider itself confirmed.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 5_000, 5_400, 5_800, 6_200, 6_600, 7_000, 8_000})
    void replacesLeaderPartitionedWithSomeAgentsOnce(long rejectedAfterMs) {
        int leader = simulation.leader();
        simulation
                .users()
                .submitUntilAccepted(
                        JobRequests.array("j-000700", "blue", 800, 1, 1).put("pull_gb", 0.0));
        simulation.runChecked(10_000);
        List<String> leaderMachines =
                ClusterFixtures.firstHalf(simulation.agents().machineIds());
        List<String> otherHosts = new ArrayList<>(simulation.agents().machineIds());
        otherHosts.removeAll(leaderMachines);
        IntStream.range(0, CONTROLLERS)
                .filter(peer -> peer != leader)
                .forEach(peer -> otherHosts.add(Hosts.controller(peer)));
        forEachPair(leader, leaderMachines, otherHosts, simulation.network()::partition);
        long partitionedAt = simulation.now();
        simulation.schedule(
                partitionedAt + rejectedAfterMs, () -> simulation.setStoreRejects(leader, rejectedAfterMs > 0));
        for (int i = 1; i < 40; i++) {
            ObjectNode job =
                    JobRequests.array(JobRequests.id(700 + i), "blue", 2, 1, 1).put("pull_gb", 0.0);
            simulation.schedule(
                    partitionedAt + 300L * i, () -> simulation.users().submitUntilAccepted(job));
        }
        simulation.runChecked(FAILOVER_LIMIT_MS);
        int successor = simulation.leader();
        assertNotEquals(leader, successor);
        simulation.runChecked(OBSERVATION_MS);
        assertEquals(successor, simulation.leader(), "the new leader is not deposed");
        simulation.setStoreRejects(leader, false);
        forEachPair(leader, leaderMachines, otherHosts, simulation.network()::heal);
        simulation.runChecked(OBSERVATION_MS);
        assertHealthy(simulation);
    }

    private static void forEachPair(
            int leader, List<String> leaderMachines, List<String> otherHosts, BiConsumer<String, String> action) {
        for (String other : otherHosts) {
            action.accept(Hosts.controller(leader), other);
            if (Hosts.isController(other)) {
                leaderMachines.forEach(machine -> action.accept(machine, other));
            }
        }
    }

    // The leader reaches its agents and the state service. It stays the leader, however long its peers receive nothing
    // from it.
    @Test
    void keepsLeaderPartitionedOnlyFromPeers() {
        int leader = simulation.leader();
        IntStream.range(0, CONTROLLERS)
                .filter(peer -> peer != leader)
                .forEach(peer -> simulation.network().partition(Hosts.controller(leader), Hosts.controller(peer)));
        simulation.runChecked(OBSERVATION_MS);
        assertEquals(leader, simulation.leader());
        assertHealthy(simulation);
        assertEquals(REPLICAS, simulation.invariants().startCount());
    }

    // An isolated controller is no majority, even when an agent that cannot reach the leader contacts it.
    @Test
    void isolatedControllerDoesNotDeposeLeader() {
        int leader = simulation.leader();
        int isolated = (leader + 1) % CONTROLLERS;
        IntStream.range(0, CONTROLLERS)
                .filter(peer -> peer != isolated)
                .forEach(peer -> simulation.network().partition(Hosts.controller(isolated), Hosts.controller(peer)));
        simulation.agents().machineIds().stream()
                .limit(1)
                .forEach(machine -> simulation.network().partition(machine, Hosts.controller(leader)));
        simulation.runChecked(OBSERVATION_MS);
        assertEquals(leader, simulation.leader());
    }
}
