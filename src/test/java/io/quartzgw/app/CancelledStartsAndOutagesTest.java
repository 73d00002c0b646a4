package io.quartzgw.app;

import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Json;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.SeedRanges;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A start of a cancelled job is outstanding in a direct call during an outage of the state service. The machine reboots
 * just after {@code cancel_s}, and the call reaches its new agent. Guards against {@code ran_cancelled}, where the
 * machine is not deleted by then although the cloud's delete API is available throughout.
 */
class CancelledStartsAndOutagesTest {
    private static final int CONTROLLERS = 3;
    private static final long CANCEL_LIMIT_MS = new AgentTiming(2_500, AGENT_LEASE_MS, 36_000).cancelLimitMs();
    private static final long AFTER_LIMIT_MS = 1_000;
    private static final String FILLER_JOB = "j-000699";
    private static final long FILLER_STARTUP_MS = 30_000;
    private static final long TASKS_COMPLETE_MS = 45_000;
    private static final long RECOVERY_MS = 60_000;

    private ClusterSimulation simulation;
    private DelayedStartsScenario starts;

    static LongStream seeds() {
        return SeedRanges.range("outages", 1, 4);
    }

    private void cancelWithOutstandingStart(long seed) {
        simulation = clusterWithServices(new ClusterSimulation(seed, CONTROLLERS));
        starts = new DelayedStartsScenario(simulation);
        fillMachines();
        starts.sendDelayedStarts(DelayedStartsScenario.tasks());
        starts.cancel();
    }

    private void fillMachines() {
        simulation.users().submitUntilAccepted(JobRequests.array(FILLER_JOB, "blue", 4, 4, 600));
        simulation.runChecked(FILLER_STARTUP_MS);
    }

    private void beginOutage(long durationMs) {
        simulation.store().setOutage(true);
        starts.logStep("state service outage begins");
        simulation.schedule(simulation.now() + durationMs, () -> {
            starts.logStep("state service outage ends");
            simulation.store().setOutage(false);
        });
    }

    private void assertNothingStartsAfterCancelLimit() {
        simulation.runChecked(CANCEL_LIMIT_MS + AFTER_LIMIT_MS);
        starts.rebootAndDeliver();
        simulation.runChecked(RECOVERY_MS);
        assertEquals(
                0,
                simulation.invariants().violations().size(),
                () -> simulation.invariants().violations().toString());
    }

    // Guards against a leader that deletes no machine during the outage because it is not confirmed.
    @ParameterizedTest
    @MethodSource("seeds")
    void machineIsDeletedWithinCancelLimitDuringStateServiceOutage(long seed) {
        cancelWithOutstandingStart(seed);
        beginOutage(CANCEL_LIMIT_MS + 4_000);
        assertNothingStartsAfterCancelLimit();
    }

    // A completed task is not started elsewhere, but its outstanding start still belongs to a cancelled job.
    @ParameterizedTest
    @MethodSource("seeds")
    void unansweredStartOfCompletedTaskIsNotExecutedAfterCancellation(long seed) {
        simulation = clusterWithServices(new ClusterSimulation(seed, CONTROLLERS));
        starts = new DelayedStartsScenario(simulation);
        fillMachines();
        // The cloud outage prevents scale-out, so most tasks wait.
        simulation.cloud().setOutage(true);
        starts.sendDelayedStarts(DelayedStartsScenario.tasks(60, 20));
        simulation.runChecked(TASKS_COMPLETE_MS);
        for (String machine : starts.targetMachines()) {
            assertTrue(
                    simulation.invariants().runningTasks().stream().noneMatch(task -> simulation
                            .network()
                            .delayedStarts(DelayedStartsScenario.JOB)
                            .get(machine)
                            .contains(task)),
                    "the tasks have completed");
        }
        simulation.cloud().setOutage(false);
        starts.cancel();
        assertNothingStartsAfterCancelLimit();
    }

    // No machine has run a task, so the page refers to no existing machine. It must be dropped: otherwise a later
    // leader would delete all machines in use.
    @ParameterizedTest
    @MethodSource("seeds")
    void unreadablePageIsDroppedWhenNoMachineHasRunTasks(long seed) {
        ClusterSimulation empty = new ClusterSimulation(seed, CONTROLLERS);
        empty.store().setValue("sent/0", Json.object().put("no attempt", "i-000001"));
        clusterWithServices(empty);
        empty.runChecked(RECOVERY_MS);
        JsonNode page = empty.store().value("sent/0");
        assertFalse(page != null && page.has("no attempt"), "the unreadable page is dropped");
    }
}
