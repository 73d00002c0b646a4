package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllDone;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import io.quartzgw.simulation.SeedRanges;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A direct call with a start outlives every controller that knows of it, or its job's cancellation does not reach the
 * controllers that follow. Then the machine is started again, and the call reaches its new agent, which knows no token.
 * Guards against {@code ran_twice}, where the task was placed anew, and against {@code ran_cancelled}, where nobody
 * fences the machine within {@code cancel_s}.
 */
class OutstandingStartsAfterCrashesTest {
    private static final int CONTROLLERS = 3;
    private static final long DOWNTIME_MS = 1_000;
    private static final long LONG_DOWNTIME_MS = 4_000;
    private static final long CANCEL_MS = new AgentTiming(2_500, LEASE_MS, 36_000).cancelMs();
    private static final long RECOVERY_MS = 120_000;
    private static final long PARTITION_MS = 5_000;
    private static final long OUTAGE_MS = 8_000;
    /** Machines are evacuated two at a time, for 26 s each. */
    private static final long FULL_EVACUATION_MS = 300_000;

    private ClusterSimulation simulation;
    private DelayedStartsScenario starts;

    static LongStream seeds() {
        return SeedRanges.range("outlive", 1, 4);
    }

    private void startCluster(long seed, int controllers) {
        simulation = clusterWithServices(new ClusterSimulation(seed, controllers));
        starts = new DelayedStartsScenario(simulation);
        starts.fillMachines();
    }

    private void sendDelayedStarts(long seed) {
        sendDelayedStarts(seed, DelayedStartsScenario.tasks());
    }

    private void sendDelayedStarts(long seed, ObjectNode job) {
        startCluster(seed, CONTROLLERS);
        starts.sendDelayedStarts(job);
    }

    private void sendStartsToPartitionedMachines(long seed, ObjectNode job) {
        sendDelayedStarts(seed, job);
        starts.partitionTargetMachines();
    }

    private void crash(int controller) {
        crash(controller, DOWNTIME_MS);
    }

    private void crash(int controller, long backMs) {
        starts.logStep("crash of controller " + controller);
        simulation.crash(controller, backMs);
    }

    private void crashAll() {
        IntStream.range(0, CONTROLLERS).forEach(this::crash);
    }

    private void assertTasksRunOnceAndComplete() {
        starts.awaitTasksElsewhereAndHeal();
        starts.rebootAndDeliver();
        simulation.runChecked(RECOVERY_MS);
        starts.assertNoViolation();
        assertAllDone(simulation, List.of(DelayedStartsScenario.JOB));
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // ---- nobody is left who knows: ran_twice

    /** The leader is cut off from a follower, and the others end; the one that lives was left out of the record. */
    private int sendStartsAndCrashAllButPartitionedController(long seed, long backMs) {
        startCluster(seed, CONTROLLERS);
        int leader = simulation.leader();
        int outOfSync = (leader + 1 + (int) (seed % 2)) % CONTROLLERS;
        starts.logStep("leader " + leader + " is cut off from controller " + outOfSync);
        simulation.network().partition(Hosts.controller(leader), Hosts.controller(outOfSync));
        simulation.runChecked(PARTITION_MS);
        assertEquals(leader, simulation.leader(), "the leader remains");
        starts.sendDelayedStarts(DelayedStartsScenario.tasks());
        starts.partitionTargetMachines();
        IntStream.range(0, CONTROLLERS)
                .filter(controller -> controller != outOfSync)
                .forEach(controller -> crash(controller, backMs));
        simulation.network().heal(Hosts.controller(leader), Hosts.controller(outOfSync));
        return outOfSync;
    }

    // The controllers that are back have no replica, and that of the third is of no use.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenOnlyPartitionedControllerSurvives(long seed) {
        sendStartsAndCrashAllButPartitionedController(seed, DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    // The controller out of sync leads before the others are back.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenPartitionedControllerBecomesLeader(long seed) {
        int outOfSync = sendStartsAndCrashAllButPartitionedController(seed, LONG_DOWNTIME_MS);
        starts.runUntil(() -> simulation.leader() == outOfSync, LONG_DOWNTIME_MS);
        assertEquals(outOfSync, simulation.leader(), "the controller out of sync leads");
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashAtOnce(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    // A gang's members share an attempt, and are placed anew together.
    @ParameterizedTest
    @MethodSource("seeds")
    void gangRunsOnceWhenAllControllersCrashAtOnce(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks().put("shape", "gang"));
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    // What the first successor has learned must outlive it too.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashTwice(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        crashAll();
        simulation.runChecked(5_000 + 250 * seed);
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    private void crashAllWithin(long seed, int spreadMs) {
        SplittableRandom random = new SplittableRandom(seed);
        IntStream.range(0, CONTROLLERS)
                .forEach(controller ->
                        simulation.schedule(simulation.now() + random.nextInt(spreadMs), () -> crash(controller)));
        simulation.runChecked(spreadMs);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashWithinHalfASecond(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        crashAllWithin(seed, 400);
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashWithinSeconds(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        crashAllWithin(seed, 4_000);
        assertTasksRunOnceAndComplete();
    }

    // Nothing can be written between the outage's beginning and the crash.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashAsOutageBegins(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        simulation.store().setOutage(true);
        starts.logStep("outage begins");
        simulation.schedule(
                simulation.now() + OUTAGE_MS, () -> simulation.store().setOutage(false));
        simulation.runChecked(50);
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    // Nobody else can hold what it knows.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenSingleControllerCrashes(long seed) {
        startCluster(seed, 1);
        starts.sendDelayedStarts(DelayedStartsScenario.tasks());
        starts.partitionTargetMachines();
        crash(0);
        assertTasksRunOnceAndComplete();
    }

    // A task ends during the outage, and the next one takes its place: its start must not leave in a call that nobody
    // will know of.
    @ParameterizedTest
    @MethodSource("seeds")
    void taskScheduledDuringOutageRunsOnceWhenAllControllersCrash(long seed) {
        startCluster(seed, CONTROLLERS);
        // Without more machines, most tasks wait.
        simulation.cloud().setOutage(true);
        simulation.users().submitUntilAccepted(DelayedStartsScenario.tasks(12, 20));
        String first = DelayedStartsScenario.JOB + "/0";
        starts.runUntil(() -> simulation.invariants().runningTasks().contains(first), 10_000);
        starts.runUntil(() -> !simulation.invariants().runningTasks().contains(first), 30_000);
        simulation.store().setOutage(true);
        starts.logStep("outage begins, " + first + " has ended");
        starts.delayCommands(simulation.agents().machineIds());
        starts.awaitDelayedStart();
        starts.partitionTargetMachines();
        crashAll();
        simulation.store().setOutage(false);
        simulation.cloud().setOutage(false);
        assertTasksRunOnceAndComplete();
    }

    // A page that can't be read may name any start; it must not be taken for empty, nor hold tasks back for ever.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenStartLogIsUnreadable(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        simulation.store().setValue("sent/0", Json.object().put("damaged", true));
        crashAll();
        starts.awaitTasksElsewhereAndHeal();
        starts.rebootAndDeliver();
        simulation.runChecked(FULL_EVACUATION_MS);
        starts.assertNoViolation();
        assertAllDone(simulation, List.of(DelayedStartsScenario.JOB));
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // ---- the cancellation is not known with the start: ran_cancelled

    private void assertCancelledTasksNeverRun() {
        simulation.runChecked(CANCEL_MS + LEASE_MS);
        starts.rebootAndDeliver();
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // Without a failover the leader fences the machine in time.
    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartIsNotExecutedUnderSameLeader(long seed) {
        sendDelayedStarts(seed);
        starts.cancel();
        assertCancelledTasksNeverRun();
    }

    // The successor doesn't load the cancelled job, so it drops the start and never fences the machine.
    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartIsNotExecutedWhenLeaderCrashes(long seed) {
        sendDelayedStarts(seed);
        starts.cancel();
        crash(simulation.leader());
        assertCancelledTasksNeverRun();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartIsNotExecutedWhenAllControllersCrash(long seed) {
        sendDelayedStarts(seed);
        starts.cancel();
        crashAll();
        assertCancelledTasksNeverRun();
    }

    // The job ends while its tasks are unaccounted: no allocation of theirs makes the successor fence the machine.
    @ParameterizedTest
    @MethodSource("seeds")
    void startIsNotExecutedWhenJobIsCancelledWithUnaccountedTasks(long seed) {
        sendDelayedStarts(seed);
        String silent = simulation.agents().machineIds().stream()
                .filter(machine -> !starts.targetMachines().contains(machine))
                .findFirst()
                .orElseThrow();
        // While this machine is silent, the tasks are unaccounted for.
        simulation.network().partition(silent, Hosts.ALL);
        crash(simulation.leader());
        starts.awaitLeader();
        simulation.runChecked(500 * seed);
        starts.cancel();
        simulation.network().heal(silent, Hosts.ALL);
        assertCancelledTasksNeverRun();
    }

    // As above, with every machine heard: the cancellation comes before or just after the successor has read the jobs.
    @ParameterizedTest
    @MethodSource("seeds")
    void startIsNotExecutedWhenJobIsCancelledDuringFailover(long seed) {
        sendDelayedStarts(seed);
        crash(simulation.leader());
        starts.awaitLeader();
        simulation.runChecked(50 * (seed - 1));
        starts.cancel();
        assertCancelledTasksNeverRun();
    }

    // ---- more machines than may be evacuated at a time: ran_cancelled

    // All machines are in use, so that only two of them are evacuated and deleted within the limit.
    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartsAreNotExecutedBeyondEvacuationLimit(long seed) {
        simulation = LongCommandDelaysTest.clusterWithServiceOnEveryMachine(seed);
        starts = new DelayedStartsScenario(simulation);
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(simulation.network()::holdCommands);
        LongCommandDelaysTest.submitAndCancel(simulation);
        simulation.runChecked(LongCommandDelaysTest.CANCEL_AFTER_MS
                + LongCommandDelaysTest.TIMING.cancelMs()
                + LongCommandDelaysTest.TIMING.heartbeatMs());
        assertTrue(simulation.counter("orders.unanswered") > 0, "calls had no answer");
        starts.logStep("reboot of " + machines + ", calls arrive; up are "
                + simulation.agents().machineIds());
        machines.forEach(machine -> simulation.agents().reboot(machine, false));
        machines.forEach(simulation.network()::deliverHeldCommands);
        starts.logStep("violations " + simulation.invariants().violations());
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }
}
