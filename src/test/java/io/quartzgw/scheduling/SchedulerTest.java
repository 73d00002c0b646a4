package io.quartzgw.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.JobShape;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;
import io.quartzgw.model.TeamQuota;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests scheduling decisions, partly against a reference model that computes all totals from the allocations. */
class SchedulerTest {
    private static final Map<String, TeamQuota> TEAMS =
            Map.of("limited", new TeamQuota("limited", 0, 24, 0, 0), "free", new TeamQuota("free", 0, 0, 0, 0));
    /** Without a noticeable delay, so that a failed job may be retried at once on other machines. */
    private static final RetryTiming RETRY_TIMING = new RetryTiming(1, 30_000, 5_000, 60_000);

    private static final MachineType TYPE =
            new MachineType("t", new Resources(8, 0, 32), 40, 1, 1, 0.3, 10, List.of("a", "b"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final ClusterState cluster = new ClusterState(eventLoop, 1);
    private final List<Allocation> stopped = new ArrayList<>();
    private boolean cloudExhausted;
    private final Scheduler scheduler = new Scheduler(
            eventLoop,
            cluster,
            new SchedulingPolicy(
                    TEAMS,
                    new ServiceLevelObjectives(Map.of(), Map.of(), Map.of()),
                    false,
                    new AgentTiming(2_500, 16_000, 36_000)),
            () -> cloudExhausted,
            new TaskLauncher() {
                @Override
                public void start(Allocation allocation) {
                    allocation.markStartSent();
                }

                @Override
                public void stop(Allocation allocation, double graceS, StopReason reason) {
                    allocation.requestStop(graceS);
                    stopped.add(allocation);
                }
            });

    private Machine onDemandMachine(int number) {
        return machine(number, false);
    }

    private Machine spotMachine(int number) {
        return machine(number, true);
    }

    /** Adds a machine with a responsive agent: even numbers in zone a, odd numbers in zone b. */
    private Machine machine(int number, boolean spot) {
        Machine machine = new Machine("i-" + number, TYPE, number % 2 == 0 ? "a" : "b", spot, 0, 0);
        machine.liveness().recordHeartbeat(new HeartbeatId(1, 1), eventLoop.nowMs());
        machine.markUp();
        cluster.add(machine);
        return machine;
    }

    private static JobSpecBuilder array(int number) {
        return JobSpecBuilder.named("j-" + number).shape(JobShape.ARRAY).image("img-" + number % 3);
    }

    private static JobSpecBuilder gang(int number) {
        return array(number).shape(JobShape.GANG);
    }

    private static JobSpecBuilder service(int number) {
        return array(number).shape(JobShape.SERVICE);
    }

    private static JobSpecBuilder productionService(int number) {
        return service(number).priority(Priority.PRODUCTION);
    }

    private Job submit(JobSpecBuilder specs, int tasks, double cpusPerTask) {
        JobSpec spec = specs.tasks(tasks).demand(cpusPerTask, 0, 1).build();
        return cluster.add(new OpenJob(spec, 1, 0));
    }

    private Job submitRandomJob(int number, SplittableRandom random) {
        boolean service = random.nextBoolean();
        JobSpecBuilder specs = service ? productionService(number) : array(number);
        specs.team(random.nextBoolean() ? "limited" : "free");
        int tasks = 1 + random.nextInt(5);
        int cpusPerTask = 1 + random.nextInt(4);
        specs.oneZone(random.nextInt(4) == 0)
                .spread(service && random.nextBoolean())
                .spot(!service && random.nextBoolean());
        return submit(specs, tasks, cpusPerTask);
    }

    // ---- reference model: linear scans over the allocations, without cached totals

    private List<Allocation> allocations() {
        return cluster.jobs().stream()
                .flatMap(job -> job.allocations().stream())
                .toList();
    }

    private double allocatedCpus(Machine machine) {
        return allocations().stream()
                .filter(allocation -> allocation.machine() == machine && !allocation.stopping())
                .mapToDouble(allocation -> allocation.demand().cpus())
                .sum();
    }

    private double allocatedCpus(String team) {
        return allocations().stream()
                .filter(allocation -> allocation.job().spec().team().equals(team))
                .mapToDouble(allocation -> allocation.demand().cpus())
                .sum();
    }

    private long tasksInZone(Job job, String zone) {
        return allocations().stream()
                .filter(allocation ->
                        allocation.job() == job && allocation.machine().zone().equals(zone))
                .count();
    }

    private boolean modelAllows(Job job, Machine machine) {
        JobSpec spec = job.spec();
        TeamQuota team = TEAMS.get(spec.team());
        boolean quota = team.maxCpus() == 0
                || allocatedCpus(spec.team()) + spec.demand().cpus() <= team.maxCpus();
        boolean capacity = allocatedCpus(machine) + spec.demand().cpus()
                <= machine.type().size().cpus();
        boolean spread = !spec.spread() || tasksInZone(job, machine.zone()) + 1 <= (spec.tasks() + 1) / 2;
        boolean singleZone = !spec.singleZone()
                || allocations().stream()
                        .noneMatch(allocation -> allocation.job() == job
                                && !allocation.machine().zone().equals(machine.zone()));
        return quota && capacity && spread && singleZone && (spec.spotAllowed() || !machine.spot());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allocatesExactlyWhatTheReferenceModelAllows(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            machines.add(machine(i, random.nextInt(3) == 0));
        }
        for (int i = 0; i < 14; i++) {
            submitRandomJob(i, random);
            scheduler.schedule();
            for (Machine machine : machines) {
                assertTrue(allocatedCpus(machine) <= 8, "no machine is overcommitted");
            }
            assertTrue(allocatedCpus("limited") <= 24, "the quota is not exceeded");
            for (Job job : cluster.jobs()) {
                if (job.spec().spread()) {
                    assertTrue(tasksInZone(job, "a") <= job.spec().tasksPerZone()
                            && tasksInZone(job, "b") <= job.spec().tasksPerZone());
                }
                if (job.nextPending() >= 0) {
                    assertTrue(
                            machines.stream().noneMatch(machine -> modelAllows(job, machine)),
                            job.id() + " is pending although a machine can run it");
                }
                assertEquals(
                        job.spec().tasks(),
                        job.allocations().size() + job.pending().cardinality());
            }
        }
    }

    // Guards against starvation of large and late jobs. Small jobs arrive faster than they can run, but the largest
    // job of each team and shape must still start within four minutes.
    @Test
    void startsLargeJobsWithinFourMinutesUnderSmallJobLoad() {
        for (int i = 0; i < 4; i++) {
            onDemandMachine(i);
        }
        List<Job> largest = new ArrayList<>();
        int number = 100;
        for (long now = 1_000; now <= 260_000; now += 1_000) {
            for (Machine machine : cluster.machines()) {
                machine.liveness().recordHeartbeat(new HeartbeatId(1, now), now);
                machine.liveness().recordResponse(now);
            }
            eventLoop.processBatch(List.of(), new ClockReading(now, now));
            if (now == 10_000) {
                for (String team : TEAMS.keySet()) {
                    largest.add(submit(array(number++).team(team), 40, 4));
                    largest.add(submit(service(number++).team(team).spread(true), 6, 2));
                }
            }
            for (int i = 0; i < 2; i++) {
                submit(array(number++).team(i == 0 ? "limited" : "free"), 2, 4);
            }
            scheduler.schedule();
            assertTrue(allocatedCpus("limited") <= 24, "the quota is not exceeded");
            for (Allocation allocation : allocations()) {
                if (!allocation.job().spec().service() && now - allocation.allocatedAt() >= 5_000) {
                    cluster.markCompleted(allocation.job(), allocation.index());
                    cluster.release(allocation);
                }
            }
        }
        for (Job job : largest) {
            assertTrue(
                    job.completedCount() + job.possiblyRunningCount() > 0,
                    job.id() + " of " + job.spec().team() + " has not started");
        }
    }

    @Test
    void preemptsTaskWithLeastLostWork() {
        Machine machine = onDemandMachine(0);
        Job low = submit(array(1), 2, 4);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        Allocation older = low.allocation(0);
        older.recordPhase(Allocation.Phase.RUNNING, 500);
        low.allocation(1).recordPhase(Allocation.Phase.RUNNING, 900);
        Job service = submit(productionService(2), 1, 2);
        scheduler.schedule();
        assertEquals(List.of(low.allocation(1)), stopped, "stops the task that has run for the shorter time");
        assertEquals(machine, service.allocation(0).machine());
    }

    // Guards against missed deadlines of normal jobs while low-priority tasks occupy the last machine the cloud offers.
    @Test
    void normalJobPreemptsLowPriorityOnlyWhenCloudIsExhausted() {
        onDemandMachine(0);
        Job low = submit(array(1).priority(Priority.LOW), 4, 2);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        low.allocations().forEach(allocation -> allocation.recordPhase(Allocation.Phase.RUNNING, 1_000));
        Job normal = submit(array(2), 1, 4);
        scheduler.schedule();
        assertEquals(List.of(), stopped);
        assertEquals(1, normal.pending().cardinality());
        cloudExhausted = true;
        scheduler.schedule();
        assertEquals(2, stopped.size());
        assertEquals(1, normal.allocations().size());
        submit(array(3).priority(Priority.LOW), 1, 4);
        scheduler.schedule();
        assertEquals(2, stopped.size(), "a low-priority job preempts no task");
    }

    // Guards against missed deadlines and missing replicas after a reclaim is announced: the tasks were allocated again
    // only when the machine was missing from the cloud's delayed machine list.
    @Test
    void stopsTasksThatCannotCompleteBeforeReclaim() {
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        Machine reclaimed = spotMachine(0);
        Job batch = submit(array(1).spot(true), 2, 2);
        Job service = submit(productionService(2).spot(true), 1, 4);
        scheduler.schedule();
        batch.allocation(0).recordPhase(Allocation.Phase.RUNNING, 1_000);
        eventLoop.processBatch(List.of(), new ClockReading(8_000, 8_000));
        batch.allocation(1).recordPhase(Allocation.Phase.RUNNING, 8_000);
        service.allocation(0).recordPhase(Allocation.Phase.RUNNING, 8_000);
        scheduler.schedule();
        assertEquals(List.of(), stopped, "no reclaim is announced");
        reclaimed.reclaimAt(14_000);
        scheduler.schedule();
        assertEquals(
                List.of(batch.allocation(1)),
                stopped,
                "stops neither the task that completes in time nor the replica that fits on no other machine");
        onDemandMachine(1).liveness().recordResponse(8_000);
        scheduler.schedule();
        assertEquals(List.of(batch.allocation(1), service.allocation(0)), stopped);
    }

    @Test
    void objectiveIsReachableUntilLargestDeadlineMultiple() {
        ServiceLevelObjectives objectives = new ServiceLevelObjectives(Map.of(), Map.of("w", 2.0), Map.of());
        Job job = cluster.add(
                new OpenJob(JobSpecBuilder.named("j-2").deadlineS(20).build(), 2, 0));
        assertTrue(objectives.isObjectiveReachable(job, 30_000));
        assertTrue(!objectives.isObjectiveReachable(job, 31_000));
    }

    @Test
    void tasksWithinLimitEqualsCountingOneByOne() {
        Resources demand = new Resources(2.5, 0, 1);
        for (TeamQuota team : TEAMS.values()) {
            for (double used = 0; used <= 30; used += 1.5) {
                for (int maxCount : List.of(0, 1, 7, 40)) {
                    int count = 0;
                    Resources use = new Resources(used, 0, 0).plus(demand);
                    while (count < maxCount && team.withinLimit(use)) {
                        count++;
                        use = use.plus(demand);
                    }
                    assertEquals(count, team.tasksWithinLimit(new Resources(used, 0, 0), demand, maxCount));
                }
            }
        }
    }

    @Test
    void doesNotPreemptTasksOfEqualPriority() {
        onDemandMachine(0);
        Job first = submit(productionService(1), 4, 2);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        first.allocations().forEach(allocation -> allocation.recordPhase(Allocation.Phase.RUNNING, 1_000));
        submit(productionService(2), 1, 2);
        scheduler.schedule();
        assertEquals(List.of(), stopped);
        assertEquals(1, scheduler.unplaced().size());
    }

    @Test
    void retriesJobWithThreeFailuresWithoutScaleOut() {
        Machine machine = onDemandMachine(0);
        Job job = submit(array(1), 1, 4);
        job.recordFailure(machine.id(), 0, RETRY_TIMING);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        assertEquals(1, scheduler.unplaced().size(), "may run on another machine");
        job.recordFailure(machine.id(), 0, RETRY_TIMING);
        job.recordFailure(machine.id(), 0, RETRY_TIMING);
        scheduler.schedule();
        assertEquals(List.of(), scheduler.unplaced(), "causes no scale-out");
        assertEquals(machine, job.allocation(0).machine(), "is retried on the machine where it failed");
    }

    // The job could never run again if all machines were gone.
    @Test
    void causesScaleOutAgainWhenFailuresAreForgotten() {
        Job job = submit(array(1), 1, 4);
        for (int i = 0; i < 3; i++) {
            job.recordFailure("i-0", 0, RETRY_TIMING);
        }
        eventLoop.processBatch(List.of(), new ClockReading(59_000, 59_000));
        scheduler.schedule();
        assertEquals(List.of(), scheduler.unplaced());
        eventLoop.processBatch(List.of(), new ClockReading(60_000, 60_000));
        scheduler.schedule();
        assertEquals(1, scheduler.unplaced().size());
    }

    // A job that fails everywhere would otherwise fail with all of its tasks at each attempt.
    @Test
    void startsOneTaskFirstAfterThreeFailures() {
        onDemandMachine(0);
        Job job = submit(array(1), 4, 1);
        for (int i = 0; i < 3; i++) {
            job.recordFailure("i-9", 0, RETRY_TIMING);
        }
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        assertEquals(1, job.allocations().size());
        eventLoop.processBatch(List.of(), new ClockReading(5_999, 5_999));
        scheduler.schedule();
        assertEquals(1, job.allocations().size());
        eventLoop.processBatch(List.of(), new ClockReading(6_000, 6_000));
        scheduler.schedule();
        assertEquals(4, job.allocations().size(), "the first task has not failed for as long as a trial lasts");
    }

    @Test
    void startsAllTasksAfterTwoFailures() {
        onDemandMachine(0);
        Job job = submit(array(1), 4, 1);
        job.recordFailure("i-9", 0, RETRY_TIMING);
        job.recordFailure("i-9", 0, RETRY_TIMING);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        assertEquals(4, job.allocations().size());
    }

    @Test
    void completedTaskEndsFailuresInARow() {
        Job job = submit(array(1), 2, 4);
        for (int i = 0; i < 3; i++) {
            job.recordFailure("i-0", 0, RETRY_TIMING);
        }
        cluster.markCompleted(job, 0);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        assertEquals(1, scheduler.unplaced().size());
    }

    @Test
    void allocatesAllGangMembersOrNone() {
        onDemandMachine(0);
        Job gang = submit(gang(1), 3, 4);
        eventLoop.processBatch(List.of(), new ClockReading(1_000, 1_000));
        scheduler.schedule();
        assertEquals(0, gang.allocations().size());
        onDemandMachine(1);
        scheduler.schedule();
        assertEquals(3, gang.allocations().size());
        assertEquals(
                1,
                gang.allocations().stream().map(Allocation::attempt).distinct().count(),
                "all members share one attempt number");
    }

    // Guards against a scheduling pass that ends in an exception: a stored job may belong to a team that the settings
    // of
    // another controller had.
    @Test
    void jobsOfTeamsWithoutQuotaDelayNoOtherJobs() {
        onDemandMachine(1);
        Job gang = submit(gang(1).team("removed").priority(Priority.PRODUCTION), 2, 1);
        Job service = submit(productionService(2).team("removed"), 1, 1);
        Job array = submit(array(3), 2, 1);
        scheduler.schedule();
        assertEquals(0, gang.allocations().size());
        assertEquals(0, service.allocations().size());
        assertEquals(2, array.allocations().size());
    }
}
