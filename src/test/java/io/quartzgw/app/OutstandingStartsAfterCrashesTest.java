package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllCompleted;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
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
 * Controllers crash while a start is outstanding in a delayed direct call, or a later leader does not learn that its
 * job was cancelled. The target machine then reboots, and the call reaches its new agent, which has no fencing token.
 * Guards against {@code ran_twice}, where the task was also started on another machine, and against
 * {@code ran_cancelled}, where no leader fences the machine within {@code cancel_s}.
 */
class OutstandingStartsAfterCrashesTest {
    private static final int CONTROLLERS = 3;
    private static final long DOWNTIME_MS = 1_000;
    private static final long LONG_DOWNTIME_MS = 4_000;
    private static final long CANCEL_LIMIT_MS = new AgentTiming(2_500, AGENT_LEASE_MS, 36_000).cancelLimitMs();
    private static final long RECOVERY_MS = 120_000;
    private static final long PARTITION_MS = 5_000;
    private static final long OUTAGE_MS = 8_000;
    /** Time to evacuate all machines: two at a time, 26 s each. */
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

    private void crash(int controller, long downtimeMs) {
        starts.logStep("crashing controller " + controller);
        simulation.crash(controller, downtimeMs);
    }

    private void crashAll() {
        IntStream.range(0, CONTROLLERS).forEach(this::crash);
    }

    private void assertTasksRunOnceAndComplete() {
        starts.awaitTasksElsewhereAndHeal();
        starts.rebootAndDeliver();
        simulation.runChecked(RECOVERY_MS);
        starts.assertNoViolation();
        assertAllCompleted(simulation, List.of(DelayedStartsScenario.JOB));
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // ---- no controller that tracked the start survives: ran_twice

    /**
     * Partitions the leader from one follower, sends starts and crashes all other controllers. The surviving follower
     * has not received the starts.
     *
     * @return the surviving follower
     */
    private int sendStartsAndCrashAllButPartitionedController(long seed, long downtimeMs) {
        startCluster(seed, CONTROLLERS);
        int leader = simulation.leader();
        int partitioned = (leader + 1 + (int) (seed % 2)) % CONTROLLERS;
        starts.logStep("leader " + leader + " is partitioned from controller " + partitioned);
        simulation.network().partition(Hosts.controller(leader), Hosts.controller(partitioned));
        simulation.runChecked(PARTITION_MS);
        assertEquals(leader, simulation.leader(), "leadership is unchanged");
        starts.sendDelayedStarts(DelayedStartsScenario.tasks());
        starts.partitionTargetMachines();
        IntStream.range(0, CONTROLLERS)
                .filter(controller -> controller != partitioned)
                .forEach(controller -> crash(controller, downtimeMs));
        simulation.network().heal(Hosts.controller(leader), Hosts.controller(partitioned));
        return partitioned;
    }

    // The restarted controllers have lost their memory, and the surviving one never received the starts.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenOnlyPartitionedControllerSurvives(long seed) {
        sendStartsAndCrashAllButPartitionedController(seed, DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    // The surviving controller becomes leader before the others restart.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenPartitionedControllerBecomesLeader(long seed) {
        int partitioned = sendStartsAndCrashAllButPartitionedController(seed, LONG_DOWNTIME_MS);
        starts.runUntil(() -> simulation.leader() == partitioned, LONG_DOWNTIME_MS);
        assertEquals(partitioned, simulation.leader(), "the partitioned controller is the leader");
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashAtOnce(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    // Members of a gang share an attempt number and are rescheduled together.
    @ParameterizedTest
    @MethodSource("seeds")
    void gangRunsOnceWhenAllControllersCrashAtOnce(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks().put("shape", "gang"));
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    // The starts that the first successor has loaded must also survive the second crash.
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

    // Nothing can be written between the start of the outage and the crash.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenAllControllersCrashAsOutageBegins(long seed) {
        sendStartsToPartitionedMachines(seed, DelayedStartsScenario.tasks());
        simulation.store().setOutage(true);
        starts.logStep("state service outage begins");
        simulation.schedule(
                simulation.now() + OUTAGE_MS, () -> simulation.store().setOutage(false));
        simulation.runChecked(50);
        crashAll();
        assertTasksRunOnceAndComplete();
    }

    // There is no other controller that could have a replica of its state.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenSingleControllerCrashes(long seed) {
        startCluster(seed, 1);
        starts.sendDelayedStarts(DelayedStartsScenario.tasks());
        starts.partitionTargetMachines();
        crash(0);
        assertTasksRunOnceAndComplete();
    }

    // A task completes as the outage begins, and the next one takes its place. Its start can't be stored, so it must
    // not be sent in a direct call that no successor could find.
    @ParameterizedTest
    @MethodSource("seeds")
    void taskScheduledDuringOutageRunsOnceWhenAllControllersCrash(long seed) {
        startCluster(seed, CONTROLLERS);
        // The cloud outage prevents scale-out, so most tasks wait.
        simulation.cloud().setOutage(true);
        simulation.users().submitUntilAccepted(DelayedStartsScenario.tasks(12, 20));
        String first = DelayedStartsScenario.JOB + "/0";
        starts.runUntil(() -> simulation.invariants().runningTasks().contains(first), 10_000);
        starts.runUntil(() -> !simulation.invariants().runningTasks().contains(first), 30_000);
        simulation.store().setOutage(true);
        starts.logStep("state service outage begins; " + first + " has completed");
        starts.delayCommands(simulation.agents().machineIds());
        starts.awaitDelayedStart();
        starts.partitionTargetMachines();
        crashAll();
        simulation.store().setOutage(false);
        simulation.cloud().setOutage(false);
        assertTasksRunOnceAndComplete();
    }

    // An unreadable page may contain any start: it must not be treated as empty, nor block tasks forever.
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
        assertAllCompleted(simulation, List.of(DelayedStartsScenario.JOB));
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // ---- the start is inherited without the cancellation: ran_cancelled

    private void assertCancelledTasksNeverRun() {
        simulation.runChecked(CANCEL_LIMIT_MS + AGENT_LEASE_MS);
        starts.rebootAndDeliver();
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // Without a failover, the leader fences the machine within the limit.
    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartIsNotExecutedUnderSameLeader(long seed) {
        sendDelayedStarts(seed);
        starts.cancel();
        assertCancelledTasksNeverRun();
    }

    // Guards against a successor that does not load the cancelled job, drops the start and never fences the machine.
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

    // The job is cancelled while its tasks are unaccounted, so no allocation makes the successor fence the machine.
    @ParameterizedTest
    @MethodSource("seeds")
    void startIsNotExecutedWhenJobIsCancelledWithUnaccountedTasks(long seed) {
        sendDelayedStarts(seed);
        String unresponsive = simulation.agents().machineIds().stream()
                .filter(machine -> !starts.targetMachines().contains(machine))
                .findFirst()
                .orElseThrow();
        // The tasks remain unaccounted while this machine is unresponsive.
        simulation.network().partition(unresponsive, Hosts.ALL);
        crash(simulation.leader());
        starts.awaitLeader();
        simulation.runChecked(500 * seed);
        starts.cancel();
        simulation.network().heal(unresponsive, Hosts.ALL);
        assertCancelledTasksNeverRun();
    }

    // All machines respond. The cancellation arrives shortly before or after the successor reads the jobs.
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

    // ---- more machines than may be evacuated at the same time: ran_cancelled

    // All machines are in use, so only two of them are evacuated and deleted within the cancel limit.
    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartsAreNotExecutedBeyondEvacuationLimit(long seed) {
        simulation = LongCommandDelaysTest.clusterWithServiceOnEveryMachine(seed);
        starts = new DelayedStartsScenario(simulation);
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(simulation.network()::delayCommandsTo);
        LongCommandDelaysTest.submitAndCancel(simulation);
        simulation.runChecked(LongCommandDelaysTest.CANCEL_AFTER_MS
                + LongCommandDelaysTest.TIMING.cancelLimitMs()
                + LongCommandDelaysTest.TIMING.heartbeatMs());
        assertTrue(simulation.counter("orders.unanswered") > 0, "direct calls are unanswered");
        starts.logStep("rebooting " + machines + " and delivering delayed calls; running machines: "
                + simulation.agents().machineIds());
        machines.forEach(machine -> simulation.agents().reboot(machine, false));
        machines.forEach(simulation.network()::deliverDelayedCommands);
        starts.logStep("violations " + simulation.invariants().violations());
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }
}
