package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Runs scheduling passes over the pending tasks. Tasks that only lack free capacity are reported for the fleet's
 * scale-out.
 */
public final class Scheduler {
    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final SchedulingQueue queue;
    private final SchedulingContext context;
    private final SchedulingConstraints constraints;
    private final BestFit bestFit;
    private final GangScheduler gangScheduler;
    private final MachineEvacuation evacuation;
    private final QuarantineReview quarantineReview;
    private final ExclusionMonitor exclusionMonitor;
    private final BooleanSupplier cloudExhausted;
    private List<UnplacedTasks> unplaced = List.of();
    /** Whether jobs of normal priority may preempt jobs of low priority in this pass. */
    private boolean normalPreempts;
    /** When the timer for retrying delayed jobs fires, or {@code Long.MAX_VALUE} if no timer is set. */
    private long retryAt = Long.MAX_VALUE;

    /** @param cloudExhausted whether the cloud currently has no more machines to rent */
    public Scheduler(
            EventLoop eventLoop,
            ClusterState cluster,
            SchedulingPolicy policy,
            BooleanSupplier cloudExhausted,
            TaskLauncher launcher) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.cloudExhausted = cloudExhausted;
        this.queue = new SchedulingQueue(
                cluster,
                policy.teams(),
                policy.objectives(),
                policy.agentTiming().heartbeatMs());
        this.constraints = new SchedulingConstraints(eventLoop, cluster, policy);
        this.bestFit = new BestFit(eventLoop.random(), policy.capacityReserved());
        this.context = new SchedulingContext(eventLoop, cluster, constraints, policy.objectives(), bestFit, launcher);
        this.gangScheduler = new GangScheduler(context);
        this.evacuation = new MachineEvacuation(context);
        this.quarantineReview =
                new QuarantineReview(eventLoop, cluster, policy.agentTiming().heartbeatMs());
        this.exclusionMonitor = new ExclusionMonitor(
                eventLoop, cluster, constraints, policy.agentTiming().heartbeatMs());
    }

    /** The tasks that lacked free capacity in the last pass. */
    public List<UnplacedTasks> unplaced() {
        return unplaced;
    }

    /** Whether tasks may be allocated to the machine now. */
    public boolean isSchedulable(Machine machine) {
        return constraints.isSchedulable(machine);
    }

    /** Whether the team's current usage, including tasks that may be running, is within its quota. */
    public boolean isWithinQuota(Job job) {
        return constraints.isWithinQuota(job);
    }

    /** Reports the machines that get no tasks and the jobs that wait for a retry; called regularly. */
    public void reportExclusions() {
        exclusionMonitor.check();
    }

    /** Resets these reports, when this controller no longer leads. */
    public void clearExclusions() {
        exclusionMonitor.clear();
    }

    /** Runs one scheduling pass, which allocates and starts all pending tasks that can run now. */
    public void schedule() {
        quarantineReview.updateAll();
        stopBrokenGangs();
        evacuateMachines();
        List<Job> queued = queue.orderedJobs(eventLoop.nowMs());
        eventLoop.increment("placement.passes", 1);
        eventLoop.increment("placement.jobs", queued.size());
        unplaced = queued.isEmpty() ? List.of() : scheduleAll(queued);
        eventLoop.increment("placement.looks", bestFit.takeMachinesExamined());
        scheduleRetry();
    }

    private void stopBrokenGangs() {
        List.copyOf(cluster.pendingJobs()).stream()
                .filter(Job::isBrokenGang)
                .forEach(gangScheduler::stopRemainingMembers);
    }

    private void evacuateMachines() {
        cluster.machines().stream()
                .filter(machine -> machine.expectedRemovalAt() != Long.MAX_VALUE)
                .toList()
                .forEach(evacuation::evacuate);
    }

    private List<UnplacedTasks> scheduleAll(List<Job> queued) {
        List<Machine> schedulable =
                cluster.machines().stream().filter(constraints::isSchedulable).toList();
        List<Machine> withCapacity = withFreeCapacity(queued, schedulable);
        bestFit.zoneUtilization(zoneUtilization(schedulable));
        // Usually no task of low priority is running, and preemption plans are not needed.
        normalPreempts = cloudExhausted.getAsBoolean()
                && schedulable.stream().anyMatch(machine -> machine.runsTaskBelow(Priority.NORMAL));
        List<UnplacedTasks> lackingCapacity = new ArrayList<>();
        for (Job job : queued) {
            int count = job.spec().gang()
                    ? gangScheduler.schedule(job, withCapacity)
                    : scheduleTasks(job, schedulable, withCapacity);
            if (count > 0 && !job.hasFailedRepeatedly(eventLoop.nowMs())) {
                lackingCapacity.add(new UnplacedTasks(job, count));
            }
        }
        return lackingCapacity;
    }

    // In a busy cluster most machines have too little free capacity for any pending task. They are filtered out once
    // in a pass instead of once for each job.
    private static List<Machine> withFreeCapacity(List<Job> queued, List<Machine> machines) {
        Resources least = queued.get(0).spec().demand();
        for (Job job : queued) {
            least = least.min(job.spec().demand());
        }
        Resources smallestDemand = least;
        return machines.stream()
                .filter(machine -> smallestDemand.fitsIn(machine.freeCapacity()))
                .toList();
    }

    private static Map<String, Double> zoneUtilization(List<Machine> machines) {
        Map<String, Double> totalCpus = new HashMap<>();
        Map<String, Double> freeCpus = new HashMap<>();
        for (Machine machine : machines) {
            if (!machine.spot()) {
                totalCpus.merge(machine.zone(), machine.type().size().cpus(), Double::sum);
                freeCpus.merge(machine.zone(), machine.freeCapacity().cpus(), Double::sum);
            }
        }
        Map<String, Double> utilization = totalCpus;
        utilization.replaceAll((zone, cpus) -> 1 - freeCpus.get(zone) / cpus);
        return utilization;
    }

    /** Returns the number of tasks that were not allocated only because free capacity was lacking. */
    private int scheduleTasks(Job job, List<Machine> schedulable, List<Machine> withCapacity) {
        if (job.hasFailedRepeatedly(eventLoop.nowMs())
                && schedulable.stream().allMatch(machine -> job.excludes(machine.id(), eventLoop.nowMs()))) {
            job.clearExcludedMachines();
        }
        CandidateMachines candidates = new CandidateMachines(
                context, job, schedulable, withCapacity, mayPreempt(job.spec().priority()));
        while (job.nextPending() >= 0) {
            if (!constraints.taskWithinQuota(job) || !job.failuresAllowStart(eventLoop.nowMs())) {
                return 0;
            }
            if (!candidates.scheduleNextTask()) {
                return constraints.pendingTasksWithinQuota(job);
            }
        }
        return 0;
    }

    // Normal priority preempts low priority only when no machine can be rented instead. Otherwise preemption would lose
    // the work of the low-priority task only to save the boot time of a new machine.
    private boolean mayPreempt(Priority priority) {
        return priority.above(Priority.NORMAL) || (priority == Priority.NORMAL && normalPreempts);
    }

    private void scheduleRetry() {
        long nextRetryAt = queue.nextRetryAt(eventLoop.nowMs());
        if (nextRetryAt < retryAt || retryAt <= eventLoop.nowMs()) {
            retryAt = nextRetryAt;
            if (nextRetryAt != Long.MAX_VALUE) {
                eventLoop.after(nextRetryAt - eventLoop.nowMs(), cluster::markChanged);
            }
        }
    }
}
