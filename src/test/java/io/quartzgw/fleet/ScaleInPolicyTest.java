package io.quartzgw.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.scheduling.TaskLauncher;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests which machines are drained for scale-in: machines that failed to boot, and idle machines unless their capacity
 * may be needed for the tasks of unresponsive machines.
 */
class ScaleInPolicyTest {
    private static final long RESERVATION_MS = 17_000;
    private static final long CANCEL_LIMIT_MS = 36_000;
    private static final MachineType TYPE =
            new MachineType("t", new Resources(16, 2, 64), 40, 1, 1, 0.3, 20, List.of("a"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final ClusterState cluster = new ClusterState(eventLoop, 1);
    private final ScaleInPolicy scaleInPolicy = new ScaleInPolicy(
            eventLoop,
            cluster,
            new Consolidation(cluster, machine -> true, new IgnoringLauncher(), 16_000),
            new FleetManager.Policy(0, RESERVATION_MS, CANCEL_LIMIT_MS, 5_000));

    private static final class IgnoringLauncher implements TaskLauncher {
        @Override
        public void start(Allocation allocation) {}

        @Override
        public void stop(Allocation allocation, double graceS, StopReason reason) {}
    }

    private Machine addIdleMachine(int number) {
        Machine machine = new Machine("i-" + number, TYPE, "a", false, 0, 0);
        cluster.add(machine);
        heartbeat(machine);
        return machine;
    }

    private void heartbeat(Machine machine) {
        machine.liveness().recordHeartbeat(new HeartbeatId(1, eventLoop.nowMs() + 1), eventLoop.nowMs());
        machine.markUp();
    }

    private Job addSingleGpuTasksJob(int tasks) {
        JobSpec spec = JobSpecBuilder.named("j-1")
                .team("team")
                .tasks(tasks)
                .demand(4, 1, 8)
                .spot(true)
                .build();
        return cluster.add(new OpenJob(spec, 1, 0));
    }

    private void advanceTo(long ms) {
        eventLoop.processBatch(List.of(), new ClockReading(ms, ms));
    }

    private long drainingMachines() {
        return cluster.machines().stream()
                .filter(machine -> machine.status() == Machine.Status.DRAINING)
                .count();
    }

    @Test
    void drainsIdleMachinesWithoutUnaccountedTasks() {
        for (int i = 0; i < 5; i++) {
            addIdleMachine(i);
        }
        advanceTo(90_000);
        scaleInPolicy.drainUnneeded(5 * 16);
        assertEquals(5, drainingMachines());
    }

    // Guards against scale-in after a failover while machines are unresponsive: unaccounted tasks need capacity when
    // the machines' reservations expire.
    @Test
    void keepsIdleCapacityForUnaccountedTasks() {
        for (int i = 0; i < 5; i++) {
            addIdleMachine(i);
        }
        Job job = addSingleGpuTasksJob(6);
        job.recordedStartLimit(6);
        cluster.markUnaccounted(job);
        advanceTo(90_000);
        scaleInPolicy.drainUnneeded(5 * 16);
        assertEquals(2, drainingMachines(), "six tasks with one GPU each need three machines with two GPUs each");
        cluster.resolveUnaccounted(job);
        scaleInPolicy.drainUnneeded(3 * 16);
        assertEquals(5, drainingMachines());
    }

    @Test
    void keepsIdleCapacityForTasksOnUnresponsiveMachine() {
        Machine unresponsive = addIdleMachine(0);
        Job job = addSingleGpuTasksJob(2);
        cluster.allocate(job, 0, unresponsive, 1);
        cluster.allocate(job, 1, unresponsive, 2);
        addIdleMachine(1);
        addIdleMachine(2);
        advanceTo(90_000);
        scaleInPolicy.drainUnneeded(3 * 16);
        assertEquals(1, drainingMachines());
        heartbeat(unresponsive);
        scaleInPolicy.drainUnneeded(2 * 16);
        assertEquals(2, drainingMachines());
    }

    // Guards against paying forever for a machine that fails to boot.
    @Test
    void drainsUnbootedMachineAfterThreeBootTimes() {
        cluster.add(new Machine("i-9", TYPE, "a", false, 0, 0));
        advanceTo(59_000);
        scaleInPolicy.drainUnneeded(16);
        assertEquals(0, drainingMachines());
        advanceTo(61_000);
        scaleInPolicy.drainUnneeded(16);
        assertEquals(1, drainingMachines());
    }
}
