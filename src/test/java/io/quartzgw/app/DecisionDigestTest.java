package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.simulation.ClusterSimulation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tells a refactoring from a change of behaviour: digests of everything that the controllers send while the random
 * failures of {@link FailureTest} are played. A refactoring leaves them as they are; whoever changes a decision, a
 * message or the order of draws from the random source replaces them by the new ones, which a failing test shows.
 */
class DecisionDigestTest {

    @ParameterizedTest
    @CsvSource({
        "11, 16250 31db8c6fd37181ea",
        "12, 15781 6f3006ed0657f694",
        "429, 15959 19c5ea00738ae257",
        "310494, 16706 082e36655656f1be"
    })
    void controllersDecideAsBeforeThroughSingleFailures(long seed, String expected) {
        ClusterSimulation world = new ClusterSimulation(seed, 3);
        FailureTest.runSingleFailures(world, seed);
        assertEquals(expected, world.messageDigest());
    }

    @ParameterizedTest
    @CsvSource({
        "1, 18338 1bd0970703087fdb",
        "7, 25046 024f7994a196ab62",
        "13, 17968 81a536f9bdd0e842",
        "40, 28979 49fc56bed80c3d8d"
    })
    void controllersDecideAsBeforeUnderConcurrentFaults(long seed, String expected) {
        ClusterSimulation world = new ClusterSimulation(seed, 3);
        FailureTest.runConcurrentFaults(world, seed);
        assertEquals(expected, world.messageDigest());
    }
}
