package io.quartzgw.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
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
import io.quartzgw.simulation.JobSpecs;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which idle machines are returned while tasks are unaccounted for, and which never came up. */
class ScaleInPolicyTest {
    private static final long SILENT_MS = 17_000;
    private static final MachineType TYPE =
            new MachineType("t", new Resources(16, 2, 64), 40, 1, 1, 0.3, 20, List.of("a"));

    private final EventLoop kernel = new EventLoop(1);
    private final ClusterState cluster = new ClusterState(kernel, 1);
    private final ScaleInPolicy retirement = new ScaleInPolicy(
            kernel,
            cluster,
            new Consolidation(cluster, machine -> true, new NoStarter(), 16_000),
            new FleetManager.Policy(0, SILENT_MS, 5_000));

    private static final class NoStarter implements TaskLauncher {
        @Override
        public void start(Allocation booking) {}

        @Override
        public void stop(Allocation booking, double graceS, StopReason reason) {}
    }

    private Machine up(int number) {
        Machine machine = new Machine("i-" + number, TYPE, "a", false, 0, 0);
        cluster.add(machine);
        hear(machine);
        return machine;
    }

    private void hear(Machine machine) {
        machine.liveness().recordHeartbeat(1, kernel.nowMs() + 1, kernel.nowMs());
        machine.markUp();
    }

    private Job job(int tasks) {
        JobSpec spec = JobSpecs.named("j-1")
                .team("team")
                .tasks(tasks)
                .demand(4, 1, 8)
                .spot(true)
                .spec();
        return cluster.add(new OpenJob(spec, 1, 0));
    }

    private void pass(long ms) {
        kernel.processBatch(List.of(), new ClockReading(ms, ms));
    }

    private long leaving() {
        return cluster.machines().stream()
                .filter(machine -> machine.status() == Machine.Status.DRAINING)
                .count();
    }

    @Test
    void idleMachinesAreReturnedWhenAllTasksAreAccountedFor() {
        for (int i = 0; i < 5; i++) {
            up(i);
        }
        pass(90_000);
        retirement.drainUnneeded(5 * 16);
        assertEquals(5, leaving());
    }

    // Guards a takeover beside silent machines: what is unaccounted takes room when their reservation ends.
    @Test
    void roomIsKeptForUnaccountedTasksInEveryDimension() {
        for (int i = 0; i < 5; i++) {
            up(i);
        }
        Job job = job(6);
        job.recordedStartLimit(6);
        cluster.markUnaccounted(job);
        pass(90_000);
        retirement.drainUnneeded(5 * 16);
        assertEquals(2, leaving(), "six tasks of one GPU need three machines of two");
        cluster.resolveUnaccounted(job);
        retirement.drainUnneeded(3 * 16);
        assertEquals(5, leaving());
    }

    @Test
    void roomIsKeptForTasksOnASilentMachine() {
        Machine silent = up(0);
        Job job = job(2);
        cluster.allocate(job, 0, silent, 1);
        cluster.allocate(job, 1, silent, 2);
        up(1);
        up(2);
        pass(90_000);
        retirement.drainUnneeded(3 * 16);
        assertEquals(1, leaving());
        hear(silent);
        retirement.drainUnneeded(2 * 16);
        assertEquals(2, leaving());
    }

    // Guards the bill and the count of machines: one that does not come up is not waited for for ever.
    @Test
    void aMachineThatNeverComesUpIsReturned() {
        cluster.add(new Machine("i-9", TYPE, "a", false, 0, 0));
        pass(59_000);
        retirement.drainUnneeded(16);
        assertEquals(0, leaving());
        pass(61_000);
        retirement.drainUnneeded(16);
        assertEquals(1, leaving());
    }
}
