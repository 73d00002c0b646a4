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
import io.quartzgw.simulation.JobSpecs;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Which machines are deleted because a task waits until its start can be executed there no more, and when: no job may
 * wait for ever, and no single fault may cost most of the machines.
 */
class FencingPolicyTest {
    private static final long RESERVATION_MS = 17_000;
    private static final long CANCEL_MS = 36_000;
    private static final int MACHINES = 100;
    private static final MachineType TYPE =
            new MachineType("t", new Resources(16, 0, 64), 40, 1, 1, 0.3, 20, List.of("a"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final ClusterState cluster = new ClusterState(eventLoop, 1);
    private final FencingPolicy fencingPolicy =
            new FencingPolicy(eventLoop, cluster, new FleetManager.Policy(0, RESERVATION_MS, CANCEL_MS, 5_000));
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
                JobSpecs.named("j-1")
                        .team("team")
                        .tasks(2 * MACHINES)
                        .demand(4, 0, 8)
                        .spec(),
                1,
                0));
    }

    private Machine machine(int number) {
        return cluster.findMachine("i-" + number).orElseThrow();
    }

    private Allocation runTask(Machine on) {
        Allocation allocation = cluster.allocate(job, job.nextPending(), on, cluster.nextAttempt());
        allocation.recordPhase(Allocation.Phase.RUNNING, eventLoop.nowMs());
        return allocation;
    }

    private void addUnfencedAttempt(Machine on) {
        cluster.retainUnfenced(runTask(on));
    }

    private void advanceTo(long ms) {
        eventLoop.processBatch(List.of(), new ClockReading(ms, ms));
    }

    private long fencedMachines() {
        return cluster.machines().stream()
                .filter(machine -> machine.fencing().isBegun())
                .count();
    }

    private boolean isDeletable(Machine machine) {
        return machine.isFencingDue(eventLoop.nowMs());
    }

    @Test
    void fencesUnusedMachineOnceDirectCallHasEnded() {
        addUnfencedAttempt(machine(0));
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines(), "the answer may still come");
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

    // A replica runs for ever, and the task must not wait for it.
    @Test
    void deletesUsedMachineWhenEvacuationTimesOut() {
        addUnfencedAttempt(machine(0));
        runTask(machine(0));
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        advanceTo(2 * RESERVATION_MS);
        assertTrue(isDeletable(machine(0)));
    }

    // A burst of lost calls must not drain the fleet.
    @Test
    void limitsEvacuationsAndPrefersOpenJobs() {
        Job cancelled = cluster.add(new OpenJob(
                JobSpecs.named("j-2")
                        .team("team")
                        .tasks(MACHINES)
                        .demand(4, 0, 8)
                        .spec(),
                1,
                0));
        for (int i = 0; i < MACHINES; i++) {
            runTask(machine(i));
            if (i < MACHINES - 1) {
                cluster.retainUnfenced(
                        cluster.allocate(cancelled, cancelled.nextPending(), machine(i), cluster.nextAttempt()));
            }
        }
        cluster.terminate(cancelled);
        addUnfencedAttempt(machine(MACHINES - 1));
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        assertEquals(5, fencedMachines(), "one in twenty");
        assertTrue(machine(MACHINES - 1).fencing().isBegun(), "a task of an open job waits for this one");
        fencingPolicy.fenceMachines(false);
        assertEquals(5, fencedMachines(), "the others wait");
    }

    // A reachable agent is sent the start of the lost attempt again.
    @Test
    void fencesMachineWithLostAttemptOnlyWhenUnreachable() {
        runTask(machine(0)).markLost(0);
        runTask(machine(1)).markLost(0);
        machine(1).liveness().markUnreachable(0);
        advanceTo(RESERVATION_MS / 4);
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines(), "it may be reached again soon");
        advanceTo(RESERVATION_MS / 2);
        fencingPolicy.fenceMachines(false);
        assertEquals(1, fencedMachines());
        assertTrue(isDeletable(machine(1)), "nothing runs there");
    }

    @Test
    void returnsTaskToPendingWhenMachineIsRemoved() {
        int pending = job.pending().cardinality();
        addUnfencedAttempt(machine(0));
        assertEquals(pending - 1, job.pending().cardinality());
        assertEquals(4, cluster.usageByTeam("team").cpus(), "it may run");
        cluster.remove(machine(0));
        assertEquals(pending, job.pending().cardinality());
        assertEquals(0, cluster.usageByTeam("team").cpus());
    }

    // Guards against a late start of a cancelled task on a machine that waits for its turn to be evacuated.
    @Test
    void ignoresEvacuationLimitForCancelledTasks() {
        for (int i = 0; i < MACHINES; i++) {
            addUnfencedAttempt(machine(i));
        }
        Job other = addJob("j-2");
        cluster.machines().forEach(machine -> runTaskOf(other, machine));
        cluster.terminate(job);
        for (long ms = 0; ms < CANCEL_MS; ms += 500) {
            advanceTo(ms);
            fencingPolicy.fenceMachines(false);
            if (ms == CANCEL_MS / 4) {
                assertEquals(5, fencedMachines(), "at first in turn");
            }
        }
        assertTrue(cluster.machines().stream().allMatch(this::isDeletable));
    }

    private Job addJob(String id) {
        return cluster.add(new OpenJob(
                JobSpecs.named(id)
                        .team("team")
                        .tasks(2 * MACHINES)
                        .demand(4, 0, 8)
                        .spec(),
                1,
                0));
    }

    private void runTaskOf(Job of, Machine on) {
        cluster.allocate(of, of.nextPending(), on, cluster.nextAttempt())
                .recordPhase(Allocation.Phase.RUNNING, eventLoop.nowMs());
    }

    @Test
    void shortensEvacuationBeforeCancellationDeadline() {
        addUnfencedAttempt(machine(0));
        runTaskOf(addJob("j-2"), machine(0));
        advanceTo(RESERVATION_MS / 2);
        fencingPolicy.fenceMachines(false);
        long deadline = machine(0).fencing().deadline();
        machine(0).fencing().addCancelledStart(new Attempt("j-3", 0, 1), RESERVATION_MS / 2 - CANCEL_MS / 2);
        fencingPolicy.fenceMachines(false);
        assertTrue(machine(0).fencing().deadline() < deadline);
        assertEquals(1, eventLoop.counters().get("fencing.machines"), "one machine");
    }

    // Guards against ran_cancelled by a former leader's start.
    @Test
    void fencesMachineForInheritedCancelledStart() {
        machine(0).fencing().addCancelledStart(new Attempt("j-3", 0, 1), 0);
        fencingPolicy.fenceMachines(false);
        assertTrue(isDeletable(machine(0)), "nothing runs there");
        assertEquals(1, fencedMachines());
    }

    // Guards against a task that waits for ever for room on its machine, and against inherited starts that wait for
    // each
    // other, since they exceed the quota together.
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

    // Guards against tasks that are killed since a new leader has not heard of them yet.
    @Test
    void evacuatesUnverifiedMachineBeforeDeletion() {
        Machine silent = new Machine("i-silent", TYPE, "a", false, 0, 0);
        silent.markHasRunTasks();
        cluster.add(silent);
        silent.fencing().addCancelledStart(new Attempt("j-3", 0, 1), -CANCEL_MS / 2);
        fencingPolicy.fenceMachines(false);
        assertTrue(silent.fencing().isBegun());
        assertFalse(isDeletable(silent), "it is evacuated first");
        advanceTo(CANCEL_MS / 2);
        assertTrue(isDeletable(silent));
    }

    // Guards against a log that can't be read and is taken for empty.
    @Test
    void limitsEvacuationsForUnknownStarts() {
        cluster.machines().forEach(machine -> {
            runTask(machine);
            machine.fencing().expectUnknownStarts();
        });
        fencingPolicy.fenceMachines(false);
        assertEquals(5, fencedMachines());
    }

    // Guards against the loss of the fleet: a new leader has heard of no machine yet, and what runs there is not known.
    @Test
    void treatsUnverifiedMachinesAsInUse() {
        for (int i = 0; i < MACHINES; i++) {
            Machine unheard = new Machine("u-" + i, TYPE, "a", false, 0, 0);
            unheard.liveness().boundPreviousLeader(RESERVATION_MS);
            unheard.markHasRunTasks();
            unheard.fencing().expectUnknownStarts();
            cluster.add(unheard);
        }
        fencingPolicy.fenceMachines(false);
        assertTrue(
                fencedMachines() <= MACHINES / 10,
                "of " + 2 * MACHINES + " machines, fenced at once: " + fencedMachines());
    }

    // Guards against a late start of a cancelled task while the leader can't delete machines: it is not confirmed.
    @Test
    void deletesMachineForCancelledTaskWhenConfirmationEnds() {
        runTask(machine(0));
        Allocation unanswered = cluster.allocate(job, job.nextPending(), machine(0), cluster.nextAttempt());
        unanswered.markStartSent();
        runTask(machine(1));
        fencingPolicy.fenceMachines(true);
        assertEquals(0, fencedMachines(), "its job is open");
        cluster.terminate(job);
        fencingPolicy.fenceMachines(false);
        assertEquals(0, fencedMachines(), "the confirmation does not end");
        fencingPolicy.fenceMachines(true);
        assertEquals(0, fencedMachines(), "no call was lost");
        machine(0).liveness().markUnreachable(0);
        fencingPolicy.fenceMachines(true);
        assertEquals(1, fencedMachines());
        assertTrue(isDeletable(machine(0)));
    }
}
