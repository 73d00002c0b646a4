package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.simulation.ClusterSimulation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Detects unintended changes of behaviour by digests of all messages that the controllers send during the random
 * failures of {@link RandomFaultsTest}. A refactoring must not change the digests. After an intended change of a
 * decision, a message or the order of draws from the random source, replace them by the actual values that the failing
 * test prints.
 */
class DecisionDigestTest {

    @ParameterizedTest
    @CsvSource({
        "11, 13949 ca953eaf7763f68a",
        "12, 13569 7de23aea520f66ff",
        "429, 13657 68872883188de6db",
        "310494, 14470 359e38f570b4b77b"
    })
    void messageDigestUnchangedUnderSingleFailures(long seed, String expected) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3);
        RandomFaultsTest.runSingleFaults(simulation, seed);
        assertEquals(expected, simulation.messageDigest());
    }

    @ParameterizedTest
    @CsvSource({
        "1, 16183 c8d6f8f2b8219c6f",
        "7, 22353 40cc943f7d7ceb67",
        "13, 14754 94c35fa7b1b4016d",
        "40, 25585 496fd69421f02263"
    })
    void messageDigestUnchangedUnderConcurrentFaults(long seed, String expected) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3);
        RandomFaultsTest.runConcurrentFaults(simulation, seed);
        assertEquals(expected, simulation.messageDigest());
    }
}
