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
        "11, 14116 07f1f94d002fc55b",
        "12, 13731 fbda1dd3796b023d",
        "429, 13486 3e509dd6a0e01e15",
        "310494, 14195 eadf38719dd0b316"
    })
    void messageDigestUnchangedUnderSingleFailures(long seed, String expected) {
        ClusterSimulation world = new ClusterSimulation(seed, 3);
        FailureTest.runSingleFailures(world, seed);
        assertEquals(expected, world.messageDigest());
    }

    @ParameterizedTest
    @CsvSource({
        "1, 16183 8ea43ed5acffcc09",
        "7, 22766 4c459a4f36636838",
        "13, 14754 5e2f93a7773a3efe",
        "40, 25733 cae2fe0cc2010179"
    })
    void messageDigestUnchangedUnderConcurrentFaults(long seed, String expected) {
        ClusterSimulation world = new ClusterSimulation(seed, 3);
        FailureTest.runConcurrentFaults(world, seed);
        assertEquals(expected, world.messageDigest());
    }
}
