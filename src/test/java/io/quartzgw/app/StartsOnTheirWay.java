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
final class StartsOnTheirWay {
    static final String JOB = "j-000701";

    private static final Logger LOG = LoggerFactory.getLogger(StartsOnTheirWay.class);
    private static final String FILLER = "j-000700";
    private static final int TASKS = 2;
    private static final double TASK_CPUS = 2;
    private static final double RUN_S = 60;
    private static final long FILLER_RUNS_MS = 30_000;
    private static final long STEP_MS = 10;
    private static final long LONGEST_SENDING_MS = 3_000;
    private static final long LONGEST_TELLING_MS = 20_000;
    private static final long LONGEST_FAILOVER_MS = 60_000;
    private static final long RETRY_MS = 200;

    private final ClusterSimulation simulation;
    private List<String> held = List.of();
    /** By machine, the tasks whose starts are on their way there. */
    private Map<String, Set<String>> onTheirWay = Map.of();

    /** @param simulation a cluster in which services run */
    StartsOnTheirWay(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Logs what the test does next. */
    void log(String what) {
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
        simulation.users().submitUntilAccepted(JobRequests.array(FILLER, "blue", 4, 4, 90));
        simulation.runChecked(FILLER_RUNS_MS);
    }

    /** Submits a job, and returns as soon as a start of it has left in a direct call that is held up. */
    void send(ObjectNode job) {
        holdCommands(simulation.agents().machinesWithRoom(TASK_CPUS));
        simulation.users().submitUntilAccepted(job);
        awaitHeldStart();
        assertFalse(onTheirWay.isEmpty(), "a start is on its way");
    }

    /** Holds up the direct calls to some machines from now on. */
    void holdCommands(List<String> machines) {
        held = machines;
        machines.forEach(simulation.network()::holdCommands);
    }

    /** Runs until a start of the job has left in a direct call that is held up, for a limited time. */
    void awaitHeldStart() {
        runUntil(() -> !simulation.network().heldStarts(JOB).isEmpty(), LONGEST_SENDING_MS);
        onTheirWay = simulation.network().heldStarts(JOB);
        log("starts on their way: " + onTheirWay + ", running " + runningTasks());
    }

    /** The machines that starts are on their way to. */
    Set<String> machines() {
        return onTheirWay.keySet();
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
        runUntil(simulation::hasLeader, LONGEST_FAILOVER_MS);
        assertTrue(simulation.hasLeader(), "a controller leads");
        log("controller " + simulation.leader() + " leads");
    }

    /** Cancels the job, and returns as soon as its user was told. */
    void cancel() {
        for (long end = simulation.now() + LONGEST_TELLING_MS;
                simulation.now() < end
                        && simulation.invariants().finalPhase(JOB).isEmpty(); ) {
            simulation.users().cancelJob(simulation.leaderOrFirst(), JOB, reply -> {});
            runUntil(() -> simulation.invariants().finalPhase(JOB).isPresent(), RETRY_MS);
        }
        assertTrue(simulation.invariants().hasEndedIn("withdrawn", JOB), "the user was told of the cancellation");
        log("user told that the job is cancelled");
    }

    /** Cuts the machines off that starts are on their way to, so that the tasks run elsewhere if anywhere. */
    void cutOffMachines() {
        machines().forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
    }

    /** Runs until the tasks run, for a limited time, and ends the cut. */
    void runElsewhere() {
        List<String> tasks = onTheirWay.values().stream().flatMap(Set::stream).toList();
        runUntil(() -> simulation.invariants().runningTasks().containsAll(tasks), LONGEST_FAILOVER_MS);
        machines().forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        log("running " + runningTasks());
    }

    /** The machines are started again, and the starts reach them. */
    void rebootAndDeliver() {
        log("reboot of " + machines() + ", calls arrive; up are "
                + simulation.agents().machineIds());
        machines().forEach(machine -> simulation.agents().reboot(machine, false));
        held.forEach(simulation.network()::deliverHeldCommands);
        log("violations " + simulation.invariants().violations());
    }

    /** Asserts that no rule was broken so far. */
    void assertNoViolation() {
        assertEquals(List.of(), simulation.invariants().violations());
    }
}
