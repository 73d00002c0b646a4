package io.quartzgw.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What begins the quarantine of a machine, and that it ends by the passing of time alone. */
class MachineQuarantineTest {
    private static final MachineType TYPE =
            new MachineType("t", new Resources(8, 0, 32), 40, 1, 1, 0.3, 10, List.of("a"));
    private static final QuarantineTiming TIMING = new QuarantineTiming(10_000, 20_000, 10_000);
    /** The longest quarantine and the probation after it. */
    private static final long LONGEST_MS = TIMING.longestMs() + TIMING.probationMs();

    private final Machine machine = machine(0);
    private final List<String> changes = new ArrayList<>();
    private long now = 1_000;
    private long attempts;

    private static Machine machine(int number) {
        return new Machine("i-" + number, TYPE, "a", false, 0, 0);
    }

    private static Job job(int number) {
        return new Job(new OpenJob(JobSpecBuilder.named("j-" + number).build(), 0, 0), 0);
    }

    private static Job jobWithCompletedTask(int number) {
        Job job = job(number);
        job.markCompleted(0);
        return job;
    }

    private void fail(Job job, Machine on) {
        on.exclusions().quarantine().recordFailure(new Allocation(job, 0, ++attempts, on, now), now);
        job.recordFailure(on.id(), now, RetryTiming.of(2_500));
    }

    private void update() {
        machine.exclusions().quarantine().update(TIMING, new ChangeRecorder(), now);
    }

    private void advance(long ms) {
        now += ms;
        update();
    }

    private void quarantine(Job... jobs) {
        for (Job job : jobs) {
            fail(job, machine);
        }
        update();
        assertTrue(machine.exclusions().quarantine().isActive(), "quarantined");
    }

    private boolean admitsTask() {
        return machine.exclusions().quarantine().admitsTask(machine.allocations());
    }

    @Test
    void endsByTimeAloneWithoutAnyTask() {
        quarantine(job(1), job(2));
        advance(TIMING.firstMs());
        assertTrue(admitsTask(), "on probation");
        advance(TIMING.probationMs());
        assertTrue(admitsTask(), "in use");
        assertEquals(List.of("quarantined", "probation", "PROBATION_PASSED"), changes);
    }

    // However often a faulty machine fails again, it is tried again after the longest quarantine.
    @Test
    void quarantinesInARowGetLongerUpToALimit() {
        quarantine(jobWithCompletedTask(1), jobWithCompletedTask(2));
        List<Long> durations = new ArrayList<>();
        for (int i = 3; i < 9; i++) {
            long begun = now;
            while (machine.exclusions().quarantine().isActive()) {
                advance(500);
            }
            durations.add(now - begun);
            quarantine(jobWithCompletedTask(i));
        }
        assertEquals(List.of(10_000L, 20_000L, 20_000L, 20_000L, 20_000L, 20_000L), durations);
    }

    @Test
    void failuresOfOneJobThatHasCompletedNoTaskAreNotEnough() {
        Job job = job(1);
        fail(job, machine);
        fail(job, machine);
        update();
        assertFalse(machine.exclusions().quarantine().isActive());
    }

    @Test
    void secondFailureOfAJobThatHasCompletedTasksIsEnough() {
        Job job = jobWithCompletedTask(1);
        fail(job, machine);
        advance(1_000);
        assertFalse(machine.exclusions().quarantine().isActive());
        fail(job, machine);
        update();
        assertTrue(machine.exclusions().quarantine().isActive());
    }

    // A job that fails on a second machine was submitted with a mistake, unless it has completed tasks.
    @Test
    void endsWhenAJobFailsOnAnotherMachineToo() {
        Job mistaken = job(1);
        quarantine(mistaken, job(2));
        fail(mistaken, machine(1));
        update();
        assertFalse(machine.exclusions().quarantine().isActive());
        assertEquals(List.of("quarantined", "JOBS_AT_FAULT"), changes);
    }

    @Test
    void remainsWhenAJobWithCompletedTasksFailsOnAnotherMachineToo() {
        Job sound = jobWithCompletedTask(1);
        quarantine(sound, job(2));
        fail(sound, machine(1));
        update();
        assertTrue(machine.exclusions().quarantine().isActive());
    }

    @Test
    void endsWhenATaskCompletes() {
        quarantine(job(1), job(2));
        machine.exclusions().quarantine().recordSuccess();
        update();
        assertFalse(machine.exclusions().quarantine().isActive());
        assertEquals(List.of("quarantined", "TASK_COMPLETED"), changes);
    }

    @Test
    void probationAdmitsOneTaskAtATime() {
        Job running = job(3);
        machine.addAllocation(new Allocation(running, 0, ++attempts, machine, now));
        quarantine(job(1), job(2));
        assertFalse(admitsTask());
        advance(TIMING.firstMs());
        assertTrue(admitsTask(), "earlier tasks don't count");
        Allocation trial = new Allocation(job(4), 0, ++attempts, machine, now);
        machine.addAllocation(trial);
        assertFalse(admitsTask());
        machine.removeAllocation(trial, now);
        assertTrue(admitsTask());
    }

    // Otherwise a few jobs with mistakes, tried on the machine again and again, would prolong its quarantine.
    @Test
    void jobThatFailsAgainDuringProbationBeginsNoQuarantine() {
        Job mistaken = job(1);
        quarantine(mistaken, job(2));
        advance(TIMING.firstMs());
        fail(mistaken, machine);
        update();
        assertFalse(machine.exclusions().quarantine().isActive());
        fail(job(3), machine);
        update();
        assertTrue(machine.exclusions().quarantine().isActive(), "a further job has failed");
    }

    // The bound of 90 s holds for each heartbeat interval that is in use.
    @ParameterizedTest
    @ValueSource(longs = {2_500, 4_000, 5_000})
    void longestQuarantineAndProbationAreShorterThanAJobMayWait(long heartbeatMs) {
        QuarantineTiming timing = QuarantineTiming.of(heartbeatMs);
        assertTrue(timing.longestMs() + timing.probationMs() < 90_000);
    }

    @Test
    void allMachinesOfALargeFleetAreInUseAgainAfterTheLongestQuarantine() {
        List<Machine> fleet = new ArrayList<>();
        for (int i = 0; i < 1_500; i++) {
            Machine failing = machine(i);
            fail(job(2 * i), failing);
            fail(job(2 * i + 1), failing);
            failing.exclusions().quarantine().update(TIMING, new ChangeRecorder(), now);
            assertTrue(failing.exclusions().quarantine().isActive());
            fleet.add(failing);
        }
        for (long end = now + LONGEST_MS; now < end; now += 500) {
            fleet.forEach(each -> each.exclusions().quarantine().update(TIMING, new ChangeRecorder(), now));
        }
        assertTrue(fleet.stream()
                .allMatch(each -> each.exclusions().quarantine().state() == MachineQuarantine.State.IN_USE));
    }

    private final class ChangeRecorder implements MachineQuarantine.Listener {
        @Override
        public void quarantined() {
            changes.add("quarantined");
        }

        @Override
        public void probationBegun() {
            changes.add("probation");
        }

        @Override
        public void ended(MachineQuarantine.EndReason reason) {
            changes.add(reason.name());
        }
    }
}
