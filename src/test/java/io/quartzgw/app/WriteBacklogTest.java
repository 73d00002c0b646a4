package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A backlog of writes to the state service, when thousands of jobs begin and end within seconds. */
class WriteBacklogTest {
    private static final int MACHINES = 1_500;
    private static final int JOBS = 2 * MACHINES;
    private static final int JOBS_PER_STEP = 100;
    private static final long STEP_MS = 500;
    private static final double LARGE_MACHINE_CPUS = 16;
    private static final long BOOTED_AT_MS = 90_000;
    private static final long FAULT_MS = 15_000;
    private static final long CHECKED_MS = 95_000;

    // Guards against starts that wait for their records while the terminal states of other jobs are written.
    @Test
    void jobsStartWhileTerminalStatesOfThousandsAreWritten() {
        ClusterSimulation simulation = ClusterSimulation.builder(3)
                .machines(MACHINES)
                .agentStepMs(250)
                .guaranteedCpus(MACHINES * LARGE_MACHINE_CPUS)
                .build();
        simulation.runUntil(BOOTED_AT_MS);
        setFaulty(simulation, true);
        for (int i = 1; i <= JOBS; i++) {
            simulation.users().submitUntilAccepted(JobRequests.array(JobRequests.id(1_000 + i), "blue", 1, 12, 2));
            if (i % JOBS_PER_STEP == 0) {
                simulation.runUntil(simulation.now() + STEP_MS);
            }
        }
        simulation.runUntil(simulation.now() + FAULT_MS);
        setFaulty(simulation, false);
        simulation.invariants().endFaults(simulation.now());
        for (long end = simulation.now() + CHECKED_MS; simulation.now() < end; ) {
            simulation.runUntil(simulation.now() + 1_000);
            simulation.checkWaitingJobs();
        }
        assertEquals(List.of(), simulation.invariants().violations());
    }

    private static void setFaulty(ClusterSimulation simulation, boolean on) {
        simulation.agents().machineIds().forEach(machine -> simulation.agents().setFaulty(machine, on));
    }
}
