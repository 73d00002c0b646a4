package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.CANCEL_LIMIT_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Direct calls that were executed and answered arrive again, at any later time. No start in them may run a task again
 * that has ended on the machine meanwhile.
 */
class RepeatedDirectCallsTest {
    private static final String JOB = "j-000701";
    private static final String URGENT_JOB = "j-000702";
    /** The time between two deliveries of the copies of all direct calls. */
    private static final long REPEAT_INTERVAL_MS = 250;

    private static final long START_MS = 8_000;
    private static final long RECOVERY_MS = 120_000;
    private static final long SHORT_DOWNTIME_MS = 100;
    /** The new agent of a rebooted machine has been redirected to the leader and contacted by it. */
    private static final long REPLACEMENT_DETECTED_MS = 2_000;

    private ClusterSimulation simulation;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 4);
    }

    private void start(long seed) {
        simulation = clusterWithServices(seed);
        simulation.network().commandCopies().keepAll();
    }

    private void submit(ObjectNode job) {
        // Without an image to fetch, a task runs as soon as its start arrives.
        simulation.users().submitUntilAccepted(job.put("pull_gb", 0.0));
    }

    private void runWithRepeatedCalls(long durationMs) {
        for (long end = simulation.now() + durationMs; simulation.now() < end; ) {
            simulation.network().commandCopies().deliverKept();
            simulation.runChecked(REPEAT_INTERVAL_MS);
        }
    }

    private void cancel(String job) {
        simulation.users().cancelJob(simulation.leaderOrFirst(), job, reply -> {});
        simulation.runChecked(1_000);
        assertTrue(simulation.invariants().hasEndedIn("withdrawn", job), "cancellation is acknowledged");
    }

    private void assertNoViolation() {
        assertEquals(List.of(), simulation.invariants().violations());
    }

    private void assertRecovers() {
        assertNoViolation();
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    private String machineOfFirstTask() {
        Optional<String> machine = simulation.invariants().machineOf(JOB + "/0");
        assertTrue(machine.isPresent(), "the first task runs");
        return machine.get();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledTaskIsNotStartedAgain(long seed) {
        start(seed);
        assertNotStartedAfterCancellation(JobRequests.service(JOB, "blue", 3, 1));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledGangIsNotStartedAgain(long seed) {
        start(seed);
        assertNotStartedAfterCancellation(
                JobRequests.array(JOB, "blue", 3, 1, 300).put("shape", "gang"));
    }

    private void assertNotStartedAfterCancellation(ObjectNode job) {
        submit(job);
        simulation.runChecked(START_MS);
        cancel(JOB);
        runWithRepeatedCalls(CANCEL_LIMIT_MS + AGENT_LEASE_MS);
        assertRecovers();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledTasksDoNotExceedQuotaOfTheirTeamAgain(long seed) {
        start(seed);
        submit(JobRequests.service(JOB, "green", 6, 4));
        simulation.runChecked(4 * START_MS);
        cancel(JOB);
        submit(JobRequests.service(URGENT_JOB, "green", 6, 4));
        runWithRepeatedCalls(CANCEL_LIMIT_MS / 2);
        cancel(URGENT_JOB);
        assertRecovers();
    }

    /** Fills all machines with tasks, some of which are then preempted. */
    private void preempt() {
        submit(JobRequests.array(JOB, "blue", 60, 4, 40).put("urgency", "low"));
        simulation.runChecked(4 * START_MS);
        submit(JobRequests.array(URGENT_JOB, "blue", 20, 8, 8).put("urgency", "critical"));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void preemptedTaskRunsOnce(long seed) {
        start(seed);
        preempt();
        runWithRepeatedCalls(RECOVERY_MS / 2);
        assertRecovers();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void preemptedTaskRunsOnceWhenLeaderRestartsImmediately(long seed) {
        start(seed);
        preempt();
        simulation.runChecked(2 * START_MS);
        simulation.crash(simulation.leader(), SHORT_DOWNTIME_MS);
        runWithRepeatedCalls(RECOVERY_MS / 2);
        assertRecovers();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledTaskIsNotStartedAgainAfterRebootInNextEpoch(long seed) {
        start(seed);
        assertNotStartedAfterReboot(true);
    }

    private void assertNotStartedAfterReboot(boolean epochKept) {
        submit(JobRequests.service(JOB, "blue", 3, 1));
        simulation.runChecked(START_MS);
        String machine = machineOfFirstTask();
        cancel(JOB);
        simulation.runChecked(CANCEL_LIMIT_MS);
        assertFalse(simulation.invariants().runningTasks().contains(JOB + "/0"));
        simulation.agents().reboot(machine, epochKept);
        runWithRepeatedCalls(AGENT_LEASE_MS);
        assertRecovers();
    }

    /** The copies arrive after the leader has detected the new agent. */
    @ParameterizedTest
    @MethodSource("seeds")
    void taskLostInRebootRunsOnce(long seed) {
        start(seed);
        submit(JobRequests.service(JOB, "blue", 3, 1));
        simulation.runChecked(START_MS);
        simulation.agents().reboot(machineOfFirstTask(), false);
        simulation.runChecked(REPLACEMENT_DETECTED_MS);
        runWithRepeatedCalls(2 * AGENT_LEASE_MS);
        assertRecovers();
    }

    /** The new agent has seen no token and is in the epoch of the earlier calls. */
    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledTaskIsNotStartedAgainAfterRebootInFirstEpoch(long seed) {
        start(seed);
        assertNotStartedAfterReboot(false);
    }
}
