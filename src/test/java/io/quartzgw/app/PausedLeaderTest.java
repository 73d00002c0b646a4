package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a leader that restarts a task of a cancelled job after a pause. This happened 54.7 seconds after the
 * cancellation was acknowledged; the cancel limit was 36 seconds.
 *
 * <p>Sequence: the leader sends the start of a task in a direct call, and is paused before it processes the response.
 * The user cancels the job at another controller. The state service is intermittently unavailable, so the leader's
 * lease never expires and no other controller is elected, while the agents' leases expire. Then the leader resumes,
 * receives the cancellation and answers the next heartbeat.
 */
class PausedLeaderTest {
    private static final String JOB = "j-000701";
    private static final String TASK = JOB + "/0";
    private static final long MIN_PAUSE_MS = 56_000;
    private static final long CANCEL_DELAY_MS = 1_600;
    private static final long RECOVERY_MS = 120_000;
    private static final double RUN_S = 40;

    private final ClusterSimulation simulation = clusterWithServices();

    /** Submits a job whose task runs as soon as its start command arrives, and runs until the start is sent. */
    private void runUntilStartIsInFlight() {
        simulation
                .users()
                .submitUntilAccepted(JobRequests.array(JOB, "blue", 1, 2, 90).put("pull_gb", 0.0));
        long sentBefore = simulation.counter("orders.sent");
        while (simulation.counter("orders.sent") == sentBefore) {
            simulation.runUntil(simulation.now() + 1);
        }
    }

    private static void submit(ClusterSimulation cluster) {
        cluster.users()
                .submitUntilAccepted(JobRequests.array(JOB, "blue", 1, 2, RUN_S).put("pull_gb", 0.0));
    }

    private void cancelAtAnotherController(int leader) {
        simulation
                .users()
                .cancelJob((leader + 1) % 3, JOB, reply -> assertTrue(reply.ok(), "cancellation is acknowledged"));
    }

    /**
     * Pause durations in small steps, so that in some run an agent sends its heartbeat just when the leader resumes.
     */
    static LongStream pauses() {
        return LongStream.range(0, 24).map(step -> MIN_PAUSE_MS + 250 * step);
    }

    @ParameterizedTest
    @MethodSource("pauses")
    void resumedLeaderDoesNotRestartCancelledTask(long pauseMs) {
        runUntilStartIsInFlight();
        int leader = simulation.leader();
        simulation.pauseController(leader, pauseMs);
        simulation.runChecked(CANCEL_DELAY_MS);
        assertTrue(simulation.invariants().runningTasks().contains(TASK), "the start was executed");
        cancelAtAnotherController(leader);
        simulation.runChecked(100);
        assertTrue(simulation.invariants().hasEndedIn("withdrawn", JOB));
        simulation.makeStoreIntermittent(simulation.now() + pauseMs);
        simulation.runChecked(pauseMs);
        simulation.runChecked(RECOVERY_MS);
        assertEquals(List.of(), simulation.invariants().violations());
        assertHealthy(simulation);
    }

    /** The leader is paused between its decision to start a task and the direct call that carries the start. */
    @ParameterizedTest
    @ValueSource(longs = {4_000, 10_000, 40_000})
    void doesNotSendStartDecidedBeforePause(long pauseMs) {
        runUntilStartIsInFlight();
        long decidedAt = simulation.now();
        ClusterSimulation replay = clusterWithServices();
        submit(replay);
        replay.runUntil(decidedAt - 1);
        long sentBefore = replay.counter("orders.sent");
        replay.pauseControllerBeforeCall(replay.leader(), "/orders", pauseMs);
        replay.runUntil(decidedAt + 1);
        assertTrue(replay.counter("orders.sent") > sentBefore, "the leader has decided to send the start");
        replay.runChecked(RECOVERY_MS);
        assertHealthy(replay);
        assertTrue(replay.invariants().hasEndedIn("done", JOB));
    }

    /** The leader is paused in the batch that builds a heartbeat response with a start; direct calls do not arrive. */
    @Test
    void doesNotSendHeartbeatResponseWithStartBuiltBeforePause() {
        delayAllCommands(simulation);
        submit(simulation);
        while (simulation.counter("orders.in_responses") == 0) {
            simulation.runUntil(simulation.now() + 1);
        }
        long responseBuiltAt = simulation.now();
        ClusterSimulation replay = clusterWithServices();
        delayAllCommands(replay);
        submit(replay);
        replay.runUntil(responseBuiltAt - 1);
        replay.pauseControllerWithinBatch(replay.leader(), 4_000);
        replay.runUntil(responseBuiltAt + 1);
        assertTrue(replay.counter("orders.in_responses") > 0, "the leader has decided to send the start");
        replay.runChecked(AGENT_LEASE_MS);
        assertEquals(List.of(), replay.invariants().violations());
    }

    private static void delayAllCommands(ClusterSimulation cluster) {
        cluster.agents().machineIds().forEach(cluster.network()::delayCommandsTo);
    }

    /**
     * The leader is paused when it deletes an idle machine; by the time it resumes, its successor may use the machine.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void doesNotSendDeletionDecidedBeforePause(long earlierMs) {
        long deletedAt = runUntilMachineIsDeleted(simulation);
        ClusterSimulation replay = clusterWithServices();
        submitJobLargerThanCluster(replay);
        replay.runUntil(deletedAt - earlierMs);
        replay.pauseControllerWithinBatch(replay.leader(), MIN_PAUSE_MS);
        replay.runChecked(RECOVERY_MS);
        assertHealthy(replay);
    }

    private static long runUntilMachineIsDeleted(ClusterSimulation cluster) {
        submitJobLargerThanCluster(cluster);
        int maxMachines = 0;
        while (cluster.agents().machineIds().size() >= maxMachines) {
            maxMachines = Math.max(maxMachines, cluster.agents().machineIds().size());
            cluster.runUntil(cluster.now() + 1);
        }
        return cluster.now();
    }

    /** Submits a job that needs more than the rented machines provide. */
    private static void submitJobLargerThanCluster(ClusterSimulation cluster) {
        cluster.users().submitUntilAccepted(JobRequests.array("j-000702", "blue", 12, 4, 10));
    }
}
