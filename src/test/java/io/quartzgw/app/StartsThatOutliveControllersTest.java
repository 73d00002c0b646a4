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
class StartsThatOutliveControllersTest {
    private static final int CONTROLLERS = 3;
    private static final long BACK_MS = 1_000;
    private static final long BACK_LATE_MS = 4_000;
    private static final long CANCEL_MS = new AgentTiming(2_500, LEASE_MS, 36_000).cancelMs();
    private static final long RECOVERY_MS = 120_000;
    private static final long LEFT_OUT_MS = 5_000;
    private static final long OUTAGE_MS = 8_000;
    /** Machines are evacuated two at a time, for 26 s each. */
    private static final long EVACUATION_OF_ALL_MS = 300_000;

    private ClusterSimulation simulation;
    private StartsOnTheirWay starts;

    static LongStream seeds() {
        return SeedRanges.range("outlive", 1, 4);
    }

    private void beginCluster(long seed, int controllers) {
        simulation = clusterWithServices(new ClusterSimulation(seed, controllers));
        starts = new StartsOnTheirWay(simulation);
        starts.fillMachines();
    }

    private void sendStartsThatAreHeldUp(long seed) {
        sendStartsThatAreHeldUp(seed, StartsOnTheirWay.tasks());
    }

    private void sendStartsThatAreHeldUp(long seed, ObjectNode job) {
        beginCluster(seed, CONTROLLERS);
        starts.send(job);
    }

    private void sendStartsToMachinesThatAreCutOff(long seed, ObjectNode job) {
        sendStartsThatAreHeldUp(seed, job);
        starts.cutOffMachines();
    }

    private void crash(int controller) {
        crash(controller, BACK_MS);
    }

    private void crash(int controller, long backMs) {
        starts.log("crash of controller " + controller);
        simulation.crash(controller, backMs);
    }

    private void crashAll() {
        IntStream.range(0, CONTROLLERS).forEach(this::crash);
    }

    private void assertTasksRunOnceAndEnd() {
        starts.runElsewhere();
        starts.rebootAndDeliver();
        simulation.runChecked(RECOVERY_MS);
        starts.assertNoViolation();
        assertAllDone(simulation, List.of(StartsOnTheirWay.JOB));
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // ---- nobody is left who knows: ran_twice

    /** The leader is cut off from a follower, and the others end; the one that lives was left out of the record. */
    private int sendStartsThatOnlyAControllerOutOfSyncOutlives(long seed, long backMs) {
        beginCluster(seed, CONTROLLERS);
        int leader = simulation.leader();
        int outOfSync = (leader + 1 + (int) (seed % 2)) % CONTROLLERS;
        starts.log("leader " + leader + " is cut off from controller " + outOfSync);
        simulation.network().partition(Hosts.controller(leader), Hosts.controller(outOfSync));
        simulation.runChecked(LEFT_OUT_MS);
        assertEquals(leader, simulation.leader(), "the leader remains");
        starts.send(StartsOnTheirWay.tasks());
        starts.cutOffMachines();
        IntStream.range(0, CONTROLLERS)
                .filter(controller -> controller != outOfSync)
                .forEach(controller -> crash(controller, backMs));
        simulation.network().heal(Hosts.controller(leader), Hosts.controller(outOfSync));
        return outOfSync;
    }

    // The controllers that are back have no replica, and that of the third is of no use.
    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfOnlyAControllerOutOfSyncOutlivesIt(long seed) {
        sendStartsThatOnlyAControllerOutOfSyncOutlives(seed, BACK_MS);
        assertTasksRunOnceAndEnd();
    }

    // The controller out of sync leads before the others are back.
    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfAControllerOutOfSyncSucceedsItsLeader(long seed) {
        int outOfSync = sendStartsThatOnlyAControllerOutOfSyncOutlives(seed, BACK_LATE_MS);
        starts.runUntil(() -> simulation.leader() == outOfSync, BACK_LATE_MS);
        assertEquals(outOfSync, simulation.leader(), "the controller out of sync leads");
        assertTasksRunOnceAndEnd();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfAllControllersCrashAtOnce(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks());
        crashAll();
        assertTasksRunOnceAndEnd();
    }

    // A gang's members share an attempt, and are placed anew together.
    @ParameterizedTest
    @MethodSource("seeds")
    void gangsStartRunsNowhereElseIfAllControllersCrashAtOnce(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks().put("shape", "gang"));
        crashAll();
        assertTasksRunOnceAndEnd();
    }

    // What the first successor has learned must outlive it too.
    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfAllControllersCrashTwice(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks());
        crashAll();
        simulation.runChecked(5_000 + 250 * seed);
        crashAll();
        assertTasksRunOnceAndEnd();
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
    void startRunsNowhereElseIfAllControllersCrashWithinAMoment(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks());
        crashAllWithin(seed, 400);
        assertTasksRunOnceAndEnd();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfAllControllersCrashWithinSeconds(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks());
        crashAllWithin(seed, 4_000);
        assertTasksRunOnceAndEnd();
    }

    // Nothing can be written between the outage's beginning and the crash.
    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfAllControllersCrashAsAnOutageBegins(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks());
        simulation.store().setOutage(true);
        starts.log("outage begins");
        simulation.schedule(
                simulation.now() + OUTAGE_MS, () -> simulation.store().setOutage(false));
        simulation.runChecked(50);
        crashAll();
        assertTasksRunOnceAndEnd();
    }

    // Nobody else can hold what it knows.
    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfALoneControllerCrashes(long seed) {
        beginCluster(seed, 1);
        starts.send(StartsOnTheirWay.tasks());
        starts.cutOffMachines();
        crash(0);
        assertTasksRunOnceAndEnd();
    }

    // A task ends during the outage, and the next one takes its place: its start must not leave in a call that nobody
    // will know of.
    @ParameterizedTest
    @MethodSource("seeds")
    void startDecidedDuringAnOutageRunsNowhereElseIfAllControllersCrash(long seed) {
        beginCluster(seed, CONTROLLERS);
        // Without more machines, most tasks wait.
        simulation.cloud().setOutage(true);
        simulation.users().submitUntilAccepted(StartsOnTheirWay.tasks(12, 20));
        String first = StartsOnTheirWay.JOB + "/0";
        starts.runUntil(() -> simulation.invariants().runningTasks().contains(first), 10_000);
        starts.runUntil(() -> !simulation.invariants().runningTasks().contains(first), 30_000);
        simulation.store().setOutage(true);
        starts.log("outage begins, " + first + " has ended");
        starts.holdCommands(simulation.agents().machineIds());
        starts.awaitHeldStart();
        starts.cutOffMachines();
        crashAll();
        simulation.store().setOutage(false);
        simulation.cloud().setOutage(false);
        assertTasksRunOnceAndEnd();
    }

    // A page that can't be read may name any start; it must not be taken for empty, nor hold tasks back for ever.
    @ParameterizedTest
    @MethodSource("seeds")
    void startRunsNowhereElseIfTheLogCannotBeRead(long seed) {
        sendStartsToMachinesThatAreCutOff(seed, StartsOnTheirWay.tasks());
        simulation.store().setValue("sent/0", Json.object().put("damaged", true));
        crashAll();
        starts.runElsewhere();
        starts.rebootAndDeliver();
        simulation.runChecked(EVACUATION_OF_ALL_MS);
        starts.assertNoViolation();
        assertAllDone(simulation, List.of(StartsOnTheirWay.JOB));
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
    void startOfACancelledJobRunsNotUnderItsOwnLeader(long seed) {
        sendStartsThatAreHeldUp(seed);
        starts.cancel();
        assertCancelledTasksNeverRun();
    }

    // The successor doesn't load the cancelled job, so it drops the start and never fences the machine.
    @ParameterizedTest
    @MethodSource("seeds")
    void startOfACancelledJobRunsNotIfItsLeaderCrashes(long seed) {
        sendStartsThatAreHeldUp(seed);
        starts.cancel();
        crash(simulation.leader());
        assertCancelledTasksNeverRun();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void startOfACancelledJobRunsNotIfAllControllersCrash(long seed) {
        sendStartsThatAreHeldUp(seed);
        starts.cancel();
        crashAll();
        assertCancelledTasksNeverRun();
    }

    // The job ends while its tasks are unaccounted: no allocation of theirs makes the successor fence the machine.
    @ParameterizedTest
    @MethodSource("seeds")
    void startOfAJobThatIsCancelledAsItsTasksAreUnaccountedRunsNot(long seed) {
        sendStartsThatAreHeldUp(seed);
        String silent = simulation.agents().machineIds().stream()
                .filter(machine -> !starts.machines().contains(machine))
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
    void startOfAJobThatIsCancelledAsANewLeaderBeginsRunsNot(long seed) {
        sendStartsThatAreHeldUp(seed);
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
    void startsOfCancelledJobsRunNotOnMoreMachinesThanMayBeEvacuated(long seed) {
        simulation = HeldUpStartsTest.clusterInUse(seed);
        starts = new StartsOnTheirWay(simulation);
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(simulation.network()::holdCommands);
        HeldUpStartsTest.submitAndCancel(simulation);
        simulation.runChecked(HeldUpStartsTest.CANCELLED_AFTER_MS
                + HeldUpStartsTest.TIMING.cancelMs()
                + HeldUpStartsTest.TIMING.heartbeatMs());
        assertTrue(simulation.counter("orders.unanswered") > 0, "calls had no answer");
        starts.log("reboot of " + machines + ", calls arrive; up are "
                + simulation.agents().machineIds());
        machines.forEach(machine -> simulation.agents().reboot(machine, false));
        machines.forEach(simulation.network()::deliverHeldCommands);
        starts.log("violations " + simulation.invariants().violations());
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }
}
