package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A simulated cluster in which a job's starts are held up in direct calls, and what happens to the machines that the
 * calls go to. Each step is logged with the simulated time.
 */
final class DelayedStartsScenario {
    static final String JOB = "j-000701";

    private static final Logger LOG = LoggerFactory.getLogger(DelayedStartsScenario.class);
    private static final String FILLER_JOB = "j-000700";
    private static final int TASKS = 2;
    private static final double TASK_CPUS = 2;
    private static final double RUN_S = 60;
    private static final long FILLER_STARTUP_MS = 30_000;
    private static final long STEP_MS = 10;
    private static final long SEND_TIMEOUT_MS = 3_000;
    private static final long CANCEL_TIMEOUT_MS = 20_000;
    private static final long FAILOVER_TIMEOUT_MS = 60_000;
    private static final long CANCEL_RETRY_MS = 200;

    private final ClusterSimulation simulation;
    private List<String> machinesWithDelayedCommands = List.of();
    /** By machine, the tasks whose starts are on their way there. */
    private Map<String, Set<String>> delayedStarts = Map.of();

    /** @param simulation a cluster in which services run */
    DelayedStartsScenario(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Logs what the test does next. */
    void logStep(String what) {
        LOG.info("{} ms: {}", simulation.now(), what);
    }

    /** Two independent tasks. */
    static ObjectNode tasks() {
        return tasks(TASKS, RUN_S);
    }

    /** Independent tasks; without an image to fetch, a task runs as soon as its start arrives. */
    static ObjectNode tasks(int count, double runS) {
        return JobRequests.array(JOB, "blue", count, TASK_CPUS, runS).put("pull_gb", 0.0);
    }

    /** Fills most machines. */
    void fillMachines() {
        simulation.users().submitUntilAccepted(JobRequests.array(FILLER_JOB, "blue", 4, 4, 90));
        simulation.runChecked(FILLER_STARTUP_MS);
    }

    /** Submits a job, and returns as soon as a start of it has left in a direct call that is held up. */
    void sendDelayedStarts(ObjectNode job) {
        delayCommands(simulation.agents().machinesWithRoom(TASK_CPUS));
        simulation.users().submitUntilAccepted(job);
        awaitDelayedStart();
        assertFalse(delayedStarts.isEmpty(), "a start is on its way");
    }

    /** Holds up the direct calls to some machines from now on. */
    void delayCommands(List<String> machines) {
        machinesWithDelayedCommands = machines;
        machines.forEach(simulation.network()::holdCommands);
    }

    /** Runs until a start of the job has left in a direct call that is held up, for a limited time. */
    void awaitDelayedStart() {
        runUntil(() -> !simulation.network().heldStarts(JOB).isEmpty(), SEND_TIMEOUT_MS);
        delayedStarts = simulation.network().heldStarts(JOB);
        logStep("starts on their way: " + delayedStarts + ", running " + runningTasks());
    }

    /** The machines that starts are on their way to. */
    Set<String> targetMachines() {
        return delayedStarts.keySet();
    }

    private List<String> runningTasks() {
        return simulation.invariants().runningTasks().stream()
                .filter(task -> task.startsWith(JOB + "/"))
                .map(task ->
                        task + " on " + simulation.invariants().machineOf(task).orElseThrow())
                .sorted()
                .toList();
    }

    /** Runs in small steps until something holds, for a limited time. */
    void runUntil(BooleanSupplier reachedState, long limitMs) {
        for (long end = simulation.now() + limitMs; simulation.now() < end && !reachedState.getAsBoolean(); ) {
            simulation.runChecked(STEP_MS);
        }
    }

    /** Runs until a controller leads. */
    void awaitLeader() {
        runUntil(simulation::hasLeader, FAILOVER_TIMEOUT_MS);
        assertTrue(simulation.hasLeader(), "a controller leads");
        logStep("controller " + simulation.leader() + " leads");
    }

    /** Cancels the job, and returns as soon as its user was told. */
    void cancel() {
        for (long end = simulation.now() + CANCEL_TIMEOUT_MS;
                simulation.now() < end
                        && simulation.invariants().finalPhase(JOB).isEmpty(); ) {
            simulation.users().cancelJob(simulation.leaderOrFirst(), JOB, reply -> {});
            runUntil(() -> simulation.invariants().finalPhase(JOB).isPresent(), CANCEL_RETRY_MS);
        }
        assertTrue(simulation.invariants().hasEndedIn("withdrawn", JOB), "the user was told of the cancellation");
        logStep("user told that the job is cancelled");
    }

    /** Cuts the machines off that starts are on their way to, so that the tasks run elsewhere if anywhere. */
    void partitionTargetMachines() {
        targetMachines().forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
    }

    /** Runs until the tasks run, for a limited time, and ends the cut. */
    void awaitTasksElsewhereAndHeal() {
        List<String> tasks =
                delayedStarts.values().stream().flatMap(Set::stream).toList();
        runUntil(() -> simulation.invariants().runningTasks().containsAll(tasks), FAILOVER_TIMEOUT_MS);
        targetMachines().forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        logStep("running " + runningTasks());
    }

    /** The machines are started again, and the starts reach them. */
    void rebootAndDeliver() {
        logStep("reboot of " + targetMachines() + ", calls arrive; up are "
                + simulation.agents().machineIds());
        targetMachines().forEach(machine -> simulation.agents().reboot(machine, false));
        machinesWithDelayedCommands.forEach(simulation.network()::deliverHeldCommands);
        logStep("violations " + simulation.invariants().violations());
    }

    /** Asserts that no rule was broken so far. */
    void assertNoViolation() {
        assertEquals(List.of(), simulation.invariants().violations());
    }
}
