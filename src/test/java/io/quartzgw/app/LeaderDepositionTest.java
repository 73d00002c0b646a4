package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.REPLICAS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Every machine lost all that it ran, since nobody led for 56 seconds.
 *
 * <p>The order of events: the leader's process stands still. The state service is out for two of every three seconds,
 * and after each outage every lease has its full time again, so that the leader's never ends. The other controllers see
 * a leader record and stand for no election; the agents' leases end.
 */
class LeaderDepositionTest {
    private static final int CONTROLLERS = 3;
    private static final long PAUSE_MS = 56_000;
    private static final long FAILOVER_LIMIT_MS = 20_000;
    private static final long LONG_MS = 120_000;

    private final ClusterSimulation simulation = clusterWithServices();

    @ParameterizedTest
    @ValueSource(longs = {0, 700, 1_400, 2_100})
    void anotherLeaderIsElectedWhileThePausedOnesLeaseDoesNotEnd(long storeSteadyMs) {
        int paused = simulation.leader();
        long end = simulation.now() + PAUSE_MS;
        simulation.pauseController(paused, PAUSE_MS);
        simulation.schedule(simulation.now() + storeSteadyMs, () -> simulation.letStoreComeAndGo(end));
        simulation.runChecked(FAILOVER_LIMIT_MS);
        assertNotEquals(paused, simulation.leader(), "another one leads");
        simulation.runChecked(PAUSE_MS + LONG_MS);
        assertHealthy(simulation);
        assertEquals(REPLICAS, simulation.invariants().startCount(), "no agent's lease has ended");
    }

    // Its agents reach it, and it reaches the state service: it leads on, however long nobody else hears it.
    @Test
    void leaderThatOnlyItsPeersDoNotReachIsNotDeposed() {
        int leader = simulation.leader();
        IntStream.range(0, CONTROLLERS)
                .filter(peer -> peer != leader)
                .forEach(peer -> simulation.network().partition(Hosts.controller(leader), Hosts.controller(peer)));
        simulation.runChecked(LONG_MS);
        assertEquals(leader, simulation.leader());
        assertHealthy(simulation);
        assertEquals(REPLICAS, simulation.invariants().startCount());
    }

    // It hears nobody, and agents come to it by chance; it is no majority.
    @Test
    void controllerThatReachesNoOtherDeposesNobody() {
        int leader = simulation.leader();
        int alone = (leader + 1) % CONTROLLERS;
        IntStream.range(0, CONTROLLERS)
                .filter(peer -> peer != alone)
                .forEach(peer -> simulation.network().partition(Hosts.controller(alone), Hosts.controller(peer)));
        simulation.agents().machineIds().stream()
                .limit(1)
                .forEach(machine -> simulation.network().partition(machine, Hosts.controller(leader)));
        simulation.runChecked(LONG_MS);
        assertEquals(leader, simulation.leader());
    }
}
