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
 * A simulated cluster in which direct calls with the starts of one job are delayed, and faults of the machines that the
 * calls are sent to. Each step is logged with the simulated time.
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
    /** Tasks whose starts are delayed, by target machine. */
    private Map<String, Set<String>> delayedStarts = Map.of();

    /** @param simulation a cluster in which services run */
    DelayedStartsScenario(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Logs a step of the test. */
    void logStep(String step) {
        LOG.info("{} ms: {}", simulation.now(), step);
    }

    /** Returns an array of two independent tasks. */
    static ObjectNode tasks() {
        return tasks(TASKS, RUN_S);
    }

    /**
     * Returns an array of independent tasks. They have no image to fetch, so each runs as soon as its start arrives.
     */
    static ObjectNode tasks(int count, double runS) {
        return JobRequests.array(JOB, "blue", count, TASK_CPUS, runS).put("pull_gb", 0.0);
    }

    /** Submits a job that fills most machines. */
    void fillMachines() {
        simulation.users().submitUntilAccepted(JobRequests.array(FILLER_JOB, "blue", 4, 4, 90));
        simulation.runChecked(FILLER_STARTUP_MS);
    }

    /** Submits a job and runs until one of its starts is sent in a delayed direct call. */
    void sendDelayedStarts(ObjectNode job) {
        delayCommands(simulation.agents().machinesWithFreeCpus(TASK_CPUS));
        simulation.users().submitUntilAccepted(job);
        awaitDelayedStart();
        assertFalse(delayedStarts.isEmpty(), "a start is delayed");
    }

    /** Delays all direct calls to the given machines until {@link #rebootAndDeliver}. */
    void delayCommands(List<String> machines) {
        machinesWithDelayedCommands = machines;
        machines.forEach(simulation.network()::delayCommandsTo);
    }

    /** Runs until a start of the job is sent in a delayed direct call, or the timeout expires. */
    void awaitDelayedStart() {
        runUntil(() -> !simulation.network().delayedStarts(JOB).isEmpty(), SEND_TIMEOUT_MS);
        delayedStarts = simulation.network().delayedStarts(JOB);
        logStep("delayed starts: " + delayedStarts + ", running " + runningTasks());
    }

    /** Returns the machines that delayed starts are sent to. */
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

    /** Runs in small steps until a condition holds or the timeout expires. */
    void runUntil(BooleanSupplier condition, long timeoutMs) {
        for (long end = simulation.now() + timeoutMs; simulation.now() < end && !condition.getAsBoolean(); ) {
            simulation.runChecked(STEP_MS);
        }
    }

    /** Runs until there is a leader. */
    void awaitLeader() {
        runUntil(simulation::hasLeader, FAILOVER_TIMEOUT_MS);
        assertTrue(simulation.hasLeader(), "there is a leader");
        logStep("controller " + simulation.leader() + " is the leader");
    }

    /** Cancels the job and runs until the cancellation is acknowledged. */
    void cancel() {
        for (long end = simulation.now() + CANCEL_TIMEOUT_MS;
                simulation.now() < end
                        && simulation.invariants().terminalState(JOB).isEmpty(); ) {
            simulation.users().cancelJob(simulation.leaderOrFirst(), JOB, reply -> {});
            runUntil(() -> simulation.invariants().terminalState(JOB).isPresent(), CANCEL_RETRY_MS);
        }
        assertTrue(simulation.invariants().hasEndedIn("withdrawn", JOB), "cancellation is acknowledged");
        logStep("cancellation acknowledged");
    }

    /** Partitions the target machines of the delayed starts, so that the tasks can only run on other machines. */
    void partitionTargetMachines() {
        targetMachines().forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
    }

    /** Runs until the tasks run on other machines or the timeout expires, then heals the partition. */
    void awaitTasksElsewhereAndHeal() {
        List<String> tasks =
                delayedStarts.values().stream().flatMap(Set::stream).toList();
        runUntil(() -> simulation.invariants().runningTasks().containsAll(tasks), FAILOVER_TIMEOUT_MS);
        targetMachines().forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        logStep("running " + runningTasks());
    }

    /** Reboots the target machines and delivers the delayed direct calls to their new agents. */
    void rebootAndDeliver() {
        logStep("rebooting " + targetMachines() + " and delivering delayed calls; running machines: "
                + simulation.agents().machineIds());
        targetMachines().forEach(machine -> simulation.agents().reboot(machine, false));
        machinesWithDelayedCommands.forEach(simulation.network()::deliverDelayedCommands);
        logStep("violations " + simulation.invariants().violations());
    }

    /** Asserts that no invariant was violated so far. */
    void assertNoViolation() {
        assertEquals(List.of(), simulation.invariants().violations());
    }
}
