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
        "11, 14116 07f1f94d002fc55b",
        "12, 13731 fbda1dd3796b023d",
        "429, 13486 3e509dd6a0e01e15",
        "310494, 14195 eadf38719dd0b316"
    })
    void messageDigestUnchangedUnderSingleFailures(long seed, String expected) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3);
        RandomFaultsTest.runSingleFaults(simulation, seed);
        assertEquals(expected, simulation.messageDigest());
    }

    @ParameterizedTest
    @CsvSource({
        "1, 16183 8ea43ed5acffcc09",
        "7, 22766 4c459a4f36636838",
        "13, 14754 5e2f93a7773a3efe",
        "40, 25733 cae2fe0cc2010179"
    })
    void messageDigestUnchangedUnderConcurrentFaults(long seed, String expected) {
        ClusterSimulation simulation = new ClusterSimulation(seed, 3);
        RandomFaultsTest.runConcurrentFaults(simulation, seed);
        assertEquals(expected, simulation.messageDigest());
    }
}
