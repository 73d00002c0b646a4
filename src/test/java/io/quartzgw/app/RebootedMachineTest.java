package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllDone;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.LEASE_MS;
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
 * A direct call with a start is held up on its way to a machine. Meanwhile its task ends there, or the machine falls
 * silent, or the leader changes; then the machine is started again and is at once sent what was held up. Its new agent
 * knows no fencing token and counts its epochs from the first, so neither voids the start: the task must not run
 * elsewhere by then.
 *
 * <p>Such a start showed itself as {@code ran_twice} in random simulations with reboots (seeds 245 and 3749 of
 * {@link DelayedCommandsTest}): "agent epoch changed" or the report of the attempt's exit was followed by "allocation
 * released" and "task allocated" on another machine, and seconds later by "orphaned attempt found" on the first one.
 */
class RebootedMachineTest {
    private static final long FAILOVER_TIMEOUT_MS = 60_000;
    private static final long CANCEL_MS = new AgentTiming(2_500, LEASE_MS, 36_000).cancelMs();
    private static final String JOB = "j-000701";

    private ClusterSimulation simulation;
    private String machine;

    /** Fills the machines, so that further tasks go to the one that has room. */
    @BeforeEach
    void fillAllMachinesButOne() {
        simulation = clusterWithServices();
        simulation.users().submitUntilAccepted(JobRequests.array("j-000700", "blue", 4, 4, 90));
        simulation.runChecked(30_000);
        List<String> machines = simulation.agents().machineIds();
        machine = machines.get(machines.size() - 1);
    }

    /** Submits an array of two tasks, of which the machine gets both while calls to it are held up. */
    private void submitTasks() {
        // Without an image to fetch, a task runs as soon as its start arrives.
        ObjectNode tasks = JobRequests.array(JOB, "blue", 2, 2, 60).put("pull_gb", 0.0);
        simulation.users().submitUntilAccepted(tasks);
    }

    private void rebootAndDeliverDelayedCommands() {
        simulation.agents().reboot(machine, false);
        simulation.network().deliverHeldCommands(machine);
    }

    private void runUntilTasksRunElsewhere(long limitMs) {
        long end = simulation.now() + limitMs;
        while (simulation.now() < end && !simulation.invariants().runningTasks().contains(JOB + "/0")) {
            simulation.runChecked(500);
        }
    }

    // The new leader gives up a machine that it has never heard; its predecessor's start may still be on its way there.
    @Test
    void previousLeaderStartIsNotExecutedOnUnresponsiveMachine() {
        simulation.network().holdCommands(machine);
        submitTasks();
        simulation.runChecked(1_000);
        simulation.crash(simulation.leader(), 1_000);
        simulation.network().partition(machine, Hosts.ALL);
        runUntilTasksRunElsewhere(FAILOVER_TIMEOUT_MS);
        simulation.network().heal(machine, Hosts.ALL);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(120_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertAllDone(simulation, List.of(JOB));
    }

    // The machine has answered the new leader, which knows nothing of the start of its predecessor.
    @Test
    void previousLeaderStartIsNotExecutedOnVerifiedMachine() {
        simulation.network().holdCommands(machine);
        submitTasks();
        simulation.runChecked(1_000);
        simulation.crash(simulation.leader(), 1_000);
        runUntilTasksRunElsewhere(FAILOVER_TIMEOUT_MS);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(120_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertAllDone(simulation, List.of(JOB));
    }

    // The agent that knew the attempt as ended is gone when the start arrives.
    @Test
    void cancelledStartIsNotExecutedAfterReboot() {
        simulation.network().holdCommands(machine);
        submitTasks();
        simulation.runChecked(10_000);
        assertTrue(simulation.invariants().runningTasks().contains(JOB + "/0"), "started by a response");
        simulation.users().cancelJob(0, JOB, reply -> {});
        simulation.runChecked(CANCEL_MS + LEASE_MS);
        rebootAndDeliverDelayedCommands();
        simulation.runChecked(30_000);
        assertEquals(List.of(), simulation.invariants().violations());
    }

    // A machine can't be deleted while the cloud is away; its tasks run there once it hears again.
    @Test
    void tasksCompleteAfterInboundBlockDuringCloudOutage() {
        simulation.network().setInboundBlocked(machine, true);
        submitTasks();
        simulation.runChecked(1_000);
        simulation.cloud().setOutage(true);
        simulation.runChecked(2 * LEASE_MS);
        simulation.network().setInboundBlocked(machine, false);
        simulation.runChecked(120_000);
        assertAllDone(simulation, List.of(JOB));
        simulation.cloud().setOutage(false);
        simulation.runChecked(120_000);
        assertHealthy(simulation);
    }
}
