package io.quartzgw.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.Attempt;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests which machines are fenced, and when they may be deleted. Guards against a job that waits forever because a
 * machine with an outstanding start of its task is never deleted, and against a single fault that costs most machines.
 */
class FencingPolicyTest {
    private static final long RESERVATION_MS = 17_000;
    private static final long CANCEL_LIMIT_MS = 36_000;
    private static final int MACHINES = 100;
    private static final MachineType TYPE =
            new MachineType("t", new Resources(16, 0, 64), 40, 1, 1, 0.3, 20, List.of("a"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final ClusterState cluster = new ClusterState(eventLoop, 1);
    private final FencingPolicy fencingPolicy =
            new FencingPolicy(eventLoop, cluster, new FleetManager.Policy(0, RESERVATION_MS, CANCEL_LIMIT_MS, 5_000));
    private Job job;

    @BeforeEach
    void addMachinesAndJob() {
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = new Machine("i-" + i, TYPE, "a", false, 0, 0);
            machine.liveness().recordHeartbeat(new HeartbeatId(1, 1), 0);
            machine.markUp();
            cluster.add(machine);
        }
        job = cluster.add(new OpenJob(
                JobSpecBuilder.named("j-1")
                        .team("team")
                        .tasks(2 * MACHINES)
                        .demand(4, 0, 8)
                        .build(),
                1,
                0));
    }

    private Machine machine(int number) {
        return cluster.findMachine("i-" + number).orElseThrow();
    }

    private Allocation runTask(Machine machine) {
        Allocation allocation = cluster.allocate(job, job.nextPending(), machine, cluster.nextAttempt());
        allocation.recordPhase(Allocation.Phase.RUNNING, eventLoop.nowMs());
        return allocation;
    }

    private void addUnfencedAttempt(Machine machine) {
        cluster.retainUnfencedAllocation(runTask(machine));
    }

    private void advanceTo(long ms) {
        eventLoop.processBatch(List.of(), new ClockReading(ms, ms));
    }

    private long fencedMachines() {
        return cluster.machines().stream()
                .filter(machine -> machine.fencing().isInProgress())
                .count();
    }

    private boolean isDeletable(Machine machine) {
        return machine.isFencingDue(eventLoop.nowMs());
    }

    @Test
    void fencesUnusedMachineOnceDirectCallHasEnded() {
        addUnfencedAttempt(machine(0));
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines(), "the response may still arrive");
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        assertEquals(1, fencedMachines());
        assertTrue(isDeletable(machine(0)));
    }

    @Test
    void deletesUsedMachineOnceOtherTasksHaveEnded() {
        addUnfencedAttempt(machine(0));
        Allocation other = runTask(machine(0));
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        assertEquals(Machine.Status.DRAINING, machine(0).status());
        assertFalse(isDeletable(machine(0)));
        cluster.release(other);
        assertTrue(isDeletable(machine(0)));
    }

    // Guards against a task that waits forever: a service replica on the same machine does not end on its own.
    @Test
    void deletesUsedMachineWhenEvacuationTimesOut() {
        addUnfencedAttempt(machine(0));
        runTask(machine(0));
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        advanceTo(2 * RESERVATION_MS);
        assertTrue(isDeletable(machine(0)));
    }

    // Guards against a burst of lost direct calls that drains the fleet.
    @Test
    void limitsEvacuationsAndPrefersOpenJobs() {
        Job cancelled = cluster.add(new OpenJob(
                JobSpecBuilder.named("j-2")
                        .team("team")
                        .tasks(MACHINES)
                        .demand(4, 0, 8)
                        .build(),
                1,
                0));
        for (int i = 0; i < MACHINES; i++) {
            runTask(machine(i));
            if (i < MACHINES - 1) {
                cluster.retainUnfencedAllocation(
                        cluster.allocate(cancelled, cancelled.nextPending(), machine(i), cluster.nextAttempt()));
            }
        }
        cluster.terminate(cancelled);
        addUnfencedAttempt(machine(MACHINES - 1));
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        assertEquals(5, fencedMachines(), "one machine in twenty is evacuated");
        assertTrue(machine(MACHINES - 1).fencing().isInProgress(), "machine that blocks an open job comes first");
        fencingPolicy.fenceMachines(false);
        assertEquals(5, fencedMachines(), "other machines wait");
    }

    // The start of a lost attempt is sent again to a reachable agent.
    @Test
    void fencesMachineWithLostAttemptOnlyWhenUnreachable() {
        runTask(machine(0)).markLost(0);
        runTask(machine(1)).markLost(0);
        machine(1).liveness().markUnreachable(0);
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines(), "agent may soon be reachable again");
        advanceTo(RESERVATION_MS / 2);
        fencingPolicy.fenceMachines(false);
        assertEquals(1, fencedMachines());
        assertTrue(isDeletable(machine(1)), "machine is not in use");
    }

    @Test
    void returnsTaskToPendingWhenMachineIsRemoved() {
        int pending = job.pending().cardinality();
        addUnfencedAttempt(machine(0));
        assertEquals(pending - 1, job.pending().cardinality());
        assertEquals(4, cluster.usageByTeam("team").cpus(), "resources of an attempt that may run count");
        cluster.remove(machine(0));
        assertEquals(pending, job.pending().cardinality());
        assertEquals(0, cluster.usageByTeam("team").cpus());
    }

    // Guards against a delayed start of a cancelled task on a machine that waits until it may be evacuated.
    @Test
    void ignoresEvacuationLimitForCancelledTasks() {
        for (int i = 0; i < MACHINES; i++) {
            addUnfencedAttempt(machine(i));
        }
        Job other = addJob("j-2");
        cluster.machines().forEach(machine -> runTaskOf(other, machine));
        cluster.terminate(job);
        for (long ms = 0; ms < CANCEL_LIMIT_MS; ms += 500) {
            advanceTo(ms);
            fencingPolicy.fenceMachines(false);
            if (ms == CANCEL_LIMIT_MS / 4) {
                assertEquals(5, fencedMachines(), "evacuation limit applies at first");
            }
        }
        assertTrue(cluster.machines().stream().allMatch(this::isDeletable));
    }

    private Job addJob(String id) {
        return cluster.add(new OpenJob(
                JobSpecBuilder.named(id)
                        .team("team")
                        .tasks(2 * MACHINES)
                        .demand(4, 0, 8)
                        .build(),
                1,
                0));
    }

    private void runTaskOf(Job owner, Machine machine) {
        cluster.allocate(owner, owner.nextPending(), machine, cluster.nextAttempt())
                .recordPhase(Allocation.Phase.RUNNING, eventLoop.nowMs());
    }

    @Test
    void shortensEvacuationBeforeCancellationDeadline() {
        addUnfencedAttempt(machine(0));
        runTaskOf(addJob("j-2"), machine(0));
        advanceTo(RESERVATION_MS / 2);
        fencingPolicy.fenceMachines(false);
        long deadline = machine(0).fencing().deletionDeadlineMs();
        machine(0).fencing().addCancelledStart(new Attempt("j-3", 0, 1), RESERVATION_MS / 2 - CANCEL_LIMIT_MS / 2);
        fencingPolicy.fenceMachines(false);
        assertTrue(machine(0).fencing().deletionDeadlineMs() < deadline);
        assertEquals(1, eventLoop.counters().get("fencing.machines"), "machine is counted once");
    }

    // Guards against the invariant violation ran_cancelled, caused by a previous leader's start command.
    @Test
    void fencesMachineForInheritedCancelledStart() {
        machine(0).fencing().addCancelledStart(new Attempt("j-3", 0, 1), 0);
        fencingPolicy.fenceMachines(false);
        assertTrue(isDeletable(machine(0)), "machine is not in use");
        assertEquals(1, fencedMachines());
    }

    // Guards against a task that waits forever for free capacity on its machine, and against inherited starts that wait
    // for each other because they together exceed the quota.
    @Test
    void fencesReachableMachineWhenLostAttemptIsNotRestarted() {
        runTask(machine(0)).markLost(0);
        advanceTo(RESERVATION_MS - 1);
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines());
        advanceTo(RESERVATION_MS);
        fencingPolicy.fenceMachines(false);
        assertEquals(1, fencedMachines());
    }

    // Guards against killing tasks that a new leader has not discovered yet, since it has received no heartbeat.
    @Test
    void evacuatesUnverifiedMachineBeforeDeletion() {
        Machine unverified = new Machine("i-silent", TYPE, "a", false, 0, 0);
        unverified.markHasRunTasks();
        cluster.add(unverified);
        unverified.fencing().addCancelledStart(new Attempt("j-3", 0, 1), -CANCEL_LIMIT_MS / 2);
        fencingPolicy.fenceMachines(false);
        assertTrue(unverified.fencing().isInProgress());
        assertFalse(isDeletable(unverified), "machine is evacuated first");
        advanceTo(CANCEL_LIMIT_MS / 2);
        assertTrue(isDeletable(unverified));
    }

    // Guards against treating a start log that can't be read as empty.
    @Test
    void limitsEvacuationsForUnknownStarts() {
        cluster.machines().forEach(machine -> {
            runTask(machine);
            machine.fencing().markUnknownStartsPossible();
        });
        fencingPolicy.fenceMachines(false);
        assertEquals(5, fencedMachines());
    }

    // Guards against the loss of the fleet: a new leader has received no heartbeats yet, so it has not yet discovered
    // which tasks run on the machines.
    @Test
    void treatsUnverifiedMachinesAsInUse() {
        for (int i = 0; i < MACHINES; i++) {
            Machine unverified = new Machine("u-" + i, TYPE, "a", false, 0, 0);
            unverified.liveness().boundPreviousLeaderActivity(RESERVATION_MS);
            unverified.markHasRunTasks();
            unverified.fencing().markUnknownStartsPossible();
            cluster.add(unverified);
        }
        fencingPolicy.fenceMachines(false);
        assertTrue(
                fencedMachines() <= MACHINES / 10,
                "of " + 2 * MACHINES + " machines, fenced at the same time: " + fencedMachines());
    }

    // Guards against a delayed start of a cancelled task while the leader can't delete machines, since it is no longer
    // confirmed.
    @Test
    void deletesMachineForCancelledTaskWhenConfirmationEnds() {
        runTask(machine(0));
        Allocation unanswered = cluster.allocate(job, job.nextPending(), machine(0), cluster.nextAttempt());
        unanswered.markStartSent();
        runTask(machine(1));
        fencingPolicy.fenceMachines(true);
        assertEquals(0, fencedMachines(), "job is open");
        cluster.terminate(job);
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines(), "confirmation is not ending");
        fencingPolicy.fenceMachines(true);
        assertEquals(0, fencedMachines(), "agent is reachable");
        machine(0).liveness().markUnreachable(0);
        fencingPolicy.fenceMachines(true);
        assertEquals(1, fencedMachines());
        assertTrue(isDeletable(machine(0)));
    }
}
