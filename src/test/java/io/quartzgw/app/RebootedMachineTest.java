package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllCompleted;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A direct call with a start to a machine is delayed. Meanwhile its task ends there, the machine becomes unresponsive,
 * or the leader changes. Then the machine reboots and receives the delayed call at once. Its new agent has no fencing
 * token and restarts its epoch count, so neither rejects the start. The task must not run elsewhere by then.
 *
 * <p>Such starts caused {@code ran_twice} in random simulations with reboots (seeds 245 and 3749 of
 * {@link DelayedCommandsTest}). In the log, "agent epoch changed" or the report of the attempt's exit was followed by
 * "allocation released" and "task allocated" on another machine, and seconds later by "orphaned attempt found" on the
 * first one.
 */
class RebootedMachineTest {
    private static final long FAILOVER_TIMEOUT_MS = 60_000;
    private static final long CANCEL_LIMIT_MS = new AgentTiming(2_500, AGENT_LEASE_MS, 36_000).cancelLimitMs();
    private static final String JOB = "j-000701";

    private ClusterSimulation simulation;
    private String machine;

    /** Fills all machines but one, so that further tasks are placed on that one. */
    @BeforeEach
    void fillAllMachinesButOne() {
        simulation = clusterWithServices();
        simulation.users().submitUntilAccepted(JobRequests.array("j-000700", "blue", 4, 4, 90));
        simulation.runChecked(30_000);
        List<String> machines = simulation.agents().machineIds();
        machine = machines.get(machines.size() - 1);
    }

    /** Submits an array of two tasks, both of which are placed on the machine with room. */
    private void submitTasks() {
        // The tasks have no image to fetch, so each runs as soon as its start arrives.
        ObjectNode tasks = JobRequests.array(JOB, "blue", 2, 2, 60).put("pull_gb", 0.0);
        simulation.users().submitUntilAccepted(tasks);
    }

    private void rebootAndDeliverDelayedCommands() {
        simulation.agents().reboot(machine, false);
        simulation.network().deliverDelayedCommands(machine);
    }

    private void runUntilTasksRunElsewhere(long timeoutMs) {
        long end = simulation.now() + timeoutMs;
        while (simulation.now() < end && !simulation.invariants().runningTasks().contains(JOB + "/0")) {
            simulation.runChecked(500);
        }
    }

    // The reservation of a machine without heartbeats expires at the new leader while the previous leader's start is
    // still outstanding.
    @Test
    void previousLeaderStartIsNotExecutedOnUnresponsiveMachine() {
        simulation.network().delayCommandsTo(machine);
        submitTasks();
        simulation.runChecked(1_000);
        simulation.crash(simulation.leader(), 1_000);
        simulation.network().partition(machine, Hosts.ALL);
        runUntilTasksRunElsewhere(FAILOVER_TIMEOUT_MS);
        simulation.network().heal(machine, Hosts.ALL);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(120_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertAllCompleted(simulation, List.of(JOB));
    }

    // Guards against a new leader that has verified the machine but has no record of the previous leader's start.
    @Test
    void previousLeaderStartIsNotExecutedOnVerifiedMachine() {
        simulation.network().delayCommandsTo(machine);
        submitTasks();
        simulation.runChecked(1_000);
        simulation.crash(simulation.leader(), 1_000);
        runUntilTasksRunElsewhere(FAILOVER_TIMEOUT_MS);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(120_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertAllCompleted(simulation, List.of(JOB));
    }

    // The agent that recorded the end of the attempt has been replaced when the start arrives.
    @Test
    void cancelledStartIsNotExecutedAfterReboot() {
        simulation.network().delayCommandsTo(machine);
        submitTasks();
        simulation.runChecked(10_000);
        assertTrue(simulation.invariants().runningTasks().contains(JOB + "/0"), "started by a heartbeat response");
        simulation.users().cancelJob(0, JOB, reply -> {});
        simulation.runChecked(CANCEL_LIMIT_MS + AGENT_LEASE_MS);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(30_000);
        assertEquals(List.of(), simulation.invariants().violations());
    }

    // The machine can't be deleted during the cloud outage; its tasks run there once its inbound traffic is unblocked.
    @Test
    void tasksCompleteAfterInboundBlockDuringCloudOutage() {
        simulation.network().setInboundBlocked(machine, true);
        submitTasks();
        simulation.runChecked(1_000);
        simulation.cloud().setOutage(true);
        simulation.runChecked(2 * AGENT_LEASE_MS);
        simulation.network().setInboundBlocked(machine, false);
        simulation.runChecked(120_000);
        assertAllCompleted(simulation, List.of(JOB));
        simulation.cloud().setOutage(false);
        simulation.runChecked(120_000);
        assertHealthy(simulation);
    }
}
