package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllCompleted;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A direct call with a start is delayed, its leader crashes, and the target machine reboots before the call arrives.
 * Guards against {@code ran_twice}: a successor that had not loaded the start placed the task on another machine.
 */
class PreviousLeaderStartsTest {
    private static final int CONTROLLERS = 3;
    private static final long FAILOVER_TIMEOUT_MS = 60_000;
    private static final long RECOVERY_MS = 120_000;
    private static final long DOWNTIME_MS = 1_000;
    private static final long SHORT_DOWNTIME_MS = 100;
    private static final long CANCEL_LIMIT_MS = new AgentTiming(2_500, AGENT_LEASE_MS, 36_000).cancelLimitMs();
    private static final double TASK_CPUS = 2;
    private static final int TASKS = 2;
    private static final String JOB = "j-000701";

    private ClusterSimulation simulation;
    private List<String> machines;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 12);
    }

    /** Fills most machines and submits a job whose starts are delayed on every machine with room for it. */
    private void sendDelayedStarts(long seed, ObjectNode job) {
        simulation = clusterWithServices(seed);
        simulation.users().submitUntilAccepted(JobRequests.array("j-000700", "blue", 4, 4, 90));
        simulation.runChecked(30_000);
        machines = simulation.agents().machinesWithFreeCpus(TASK_CPUS);
        assertFalse(machines.isEmpty());
        machines.forEach(simulation.network()::delayCommandsTo);
        simulation.users().submitUntilAccepted(job);
        simulation.runChecked(1_000);
    }

    /** Returns tasks without an image to fetch, so that each runs as soon as its start arrives. */
    private static ObjectNode tasks() {
        return JobRequests.array(JOB, "blue", TASKS, TASK_CPUS, 60).put("pull_gb", 0.0);
    }

    private void crashLeader(long downtimeMs) {
        simulation.crash(simulation.leader(), downtimeMs);
    }

    private void runUntilTasksRun() {
        long end = simulation.now() + FAILOVER_TIMEOUT_MS;
        while (simulation.now() < end && !simulation.invariants().runningTasks().contains(JOB + "/0")) {
            simulation.runChecked(500);
        }
    }

    private void rebootAndDeliverDelayedCommands() {
        machines.forEach(machine -> {
            simulation.agents().reboot(machine, false);
            simulation.network().deliverDelayedCommands(machine);
        });
    }

    private void assertTasksRunOnceAndComplete() {
        runUntilTasksRun();
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(RECOVERY_MS);
        assertEquals(List.of(), simulation.invariants().violations());
        assertAllCompleted(simulation, List.of(JOB));
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceAfterLeaderCrash(long seed) {
        sendDelayedStarts(seed, tasks());
        crashLeader(DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenMachineIsUnresponsiveSinceCrash(long seed) {
        sendDelayedStarts(seed, tasks());
        crashLeader(DOWNTIME_MS);
        machines.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
        runUntilTasksRun();
        machines.forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenLeaderRestartsImmediately(long seed) {
        sendDelayedStarts(seed, tasks());
        crashLeader(SHORT_DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    // The two restarted controllers have lost their memory; the third one has kept running.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenLeaderAndAnotherControllerCrash(long seed) {
        sendDelayedStarts(seed, tasks());
        int leader = simulation.leader();
        simulation.crash(leader, SHORT_DOWNTIME_MS);
        simulation.crash((leader + 1 + (int) (seed % 2)) % CONTROLLERS, SHORT_DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    // The only controller that has not crashed is unreachable at first, so the new leader has only the start log.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenSurvivingControllerIsPartitioned(long seed) {
        sendDelayedStarts(seed, tasks());
        int leader = simulation.leader();
        String survivor = Hosts.controller((leader + 1) % CONTROLLERS);
        simulation.network().partition(survivor, Hosts.ALL);
        simulation.crash(leader, SHORT_DOWNTIME_MS);
        simulation.crash((leader + 2) % CONTROLLERS, SHORT_DOWNTIME_MS);
        simulation.runChecked(10_000);
        simulation.network().heal(survivor, Hosts.ALL);
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceAfterSecondFailover(long seed) {
        sendDelayedStarts(seed, tasks());
        crashLeader(DOWNTIME_MS);
        simulation.runChecked(5_000 + 250 * seed);
        crashLeader(DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    // The partitioned follower has received nothing from the leader since before the starts were sent.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceWhenFollowerWasPartitionedFromLeader(long seed) {
        simulation = clusterWithServices(seed);
        String leader = Hosts.controller(simulation.leader());
        String follower = Hosts.controller((simulation.leader() + 1 + (int) (seed % 2)) % CONTROLLERS);
        simulation.users().submitUntilAccepted(JobRequests.array("j-000700", "blue", 4, 4, 90));
        simulation.runChecked(30_000);
        simulation.network().partition(leader, follower);
        simulation.runChecked(5_000);
        machines = simulation.agents().machinesWithFreeCpus(TASK_CPUS);
        machines.forEach(simulation.network()::delayCommandsTo);
        simulation.users().submitUntilAccepted(tasks());
        simulation.runChecked(1_000);
        crashLeader(DOWNTIME_MS);
        simulation.network().heal(leader, follower);
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void gangRunsOnceAfterLeaderCrash(long seed) {
        sendDelayedStarts(seed, tasks().put("shape", "gang"));
        crashLeader(DOWNTIME_MS);
        assertTasksRunOnceAndComplete();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void startIsNotExecutedWhenJobIsCancelledAfterFailover(long seed) {
        sendDelayedStarts(seed, tasks());
        crashLeader(DOWNTIME_MS);
        runUntilTasksRun();
        simulation.users().cancelJob(simulation.leaderOrFirst(), JOB, reply -> {});
        simulation.runChecked(CANCEL_LIMIT_MS + AGENT_LEASE_MS);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(RECOVERY_MS);
        assertHealthy(simulation);
    }

    // No controller that tracked the start survives.
    @ParameterizedTest
    @MethodSource("seeds")
    void tasksRunOnceAfterAllControllersCrash(long seed) {
        sendDelayedStarts(seed, tasks());
        IntStream.range(0, CONTROLLERS).forEach(controller -> simulation.crash(controller, DOWNTIME_MS));
        assertTasksRunOnceAndComplete();
    }
}
