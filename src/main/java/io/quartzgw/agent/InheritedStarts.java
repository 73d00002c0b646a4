package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.startlog.MachineStarts;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks the starts of previous leaders that may still be executed. Each is outstanding on its machine like a start in
 * an unanswered direct call of this leader, so its task is not placed on another machine while that machine exists
 * ({@link AllocationRelease}).
 */
final class InheritedStarts {
    private final LeaderContext leader;
    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final StartLogUpdater startLogUpdater;
    /**
     * Newest inherited start of each task of an open job, by task. Only the newest matters, because a leader sends a
     * later start only once the earlier ones can no longer be executed.
     */
    private final Map<String, OutstandingStart> newestByTask = new HashMap<>();

    /** Allocations of inherited starts that must not be resent yet. */
    private final Set<Allocation> withheldAllocations = new LinkedHashSet<>();

    InheritedStarts(LeaderContext leader, AgentRegistry registry, StartLogUpdater startLogUpdater) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.startLogUpdater = startLogUpdater;
    }

    /**
     * Takes over the starts that may have been sent to machines that still exist, and marks them as outstanding. This
     * includes starts of jobs that have ended.
     *
     * @return the number of unfinished tasks of open jobs that have such a start
     */
    int inherit(Collection<MachineStarts> previousStarts) {
        Map<String, OutstandingStart> newest = new HashMap<>();
        for (MachineStarts machineStarts : previousStarts) {
            // A leader records that tasks may have been started on a machine before it sends a start there.
            cluster.findMachine(machineStarts.machine())
                    .filter(Machine::hasRunTasks)
                    .ifPresent(machine -> addNewest(machine, machineStarts.starts(), newest));
        }
        newest.values().forEach(this::markOutstanding);
        newest.values().stream()
                .filter(this::isOfUnfinishedTask)
                .forEach(start -> newestByTask.put(start.attempt().task(), start));
        previousStarts.forEach(machineStarts -> updateLog(machineStarts.machine()));
        return newestByTask.size();
    }

    private void addNewest(Machine machine, Collection<Attempt> starts, Map<String, OutstandingStart> newest) {
        for (Attempt start : starts) {
            if (mayHaveBeenSent(start)) {
                newest.merge(start.task(), new OutstandingStart(machine, start), OutstandingStart::newer);
            }
        }
    }

    /**
     * Returns whether a start may have been sent. A leader logs a start, then raises the job's recorded start limit
     * above the task's index, and only then sends the start.
     */
    private boolean mayHaveBeenSent(Attempt start) {
        return cluster.findJob(start.job())
                .filter(job -> !job.isTerminal())
                .map(job -> start.index() < job.recordedStartLimit())
                .orElse(true);
    }

    private boolean isOfUnfinishedTask(OutstandingStart start) {
        Attempt attempt = start.attempt();
        return Attempts.openJob(attempt, cluster)
                .filter(job -> !job.isCompleted(attempt.index()))
                .isPresent();
    }

    private void markOutstanding(OutstandingStart start) {
        AgentState agent = registry.agentOf(start.machine());
        agent.outstandingStarts().addInherited(start.attempt(), CommandFence.ofPreviousLeader(leader.term()));
    }

    // Drops from the log the starts that can no longer be executed.
    private void updateLog(String machineId) {
        cluster.findMachine(machineId)
                .ifPresentOrElse(
                        machine -> startLogUpdater.updateStarts(registry.agentOf(machine)),
                        () -> startLogUpdater.machineRemoved(machineId));
    }

    /**
     * Allocates each unaccounted task of a job that has an inherited start: to the machine of that start, with its
     * attempt number. The allocation counts as lost, or is retained as unfenced if the job may no longer use the zone.
     * Called once no unresponsive machine can be running the tasks.
     */
    void allocateUnaccounted(Job job) {
        job.unaccounted().stream().boxed().toList().forEach(index -> allocateIfInherited(job, index));
    }

    private void allocateIfInherited(Job job, int index) {
        OutstandingStart start = newestByTask.get(job.task(index));
        if (start == null || !cluster.contains(start.machine())) {
            return;
        }
        Allocation allocation =
                cluster.allocate(job, index, start.machine(), start.attempt().number());
        allocation.markStartSent();
        if (job.zonesAllowed(start.machine().zone())) {
            allocation.markLost(eventLoop.nowMs());
            allocation.setStartWithheld(true);
            withheldAllocations.add(allocation);
        } else {
            cluster.retainUnfencedAllocation(allocation);
        }
    }

    /**
     * Resends the withheld starts whose jobs are within quota. The previous leader may have logged a start, released
     * the task without sending the start, and given the task's quota to another task.
     */
    void resendWithinQuota(Predicate<Job> isWithinQuota) {
        withheldAllocations.removeIf(allocation -> !allocation.isLost() || !isAllocated(allocation));
        List<Allocation> permitted = withheldAllocations.stream()
                .filter(allocation -> isWithinQuota.test(allocation.job()))
                .toList();
        for (Allocation allocation : permitted) {
            withheldAllocations.remove(allocation);
            allocation.setStartWithheld(false);
            registry.requestStart(allocation);
        }
    }

    private static boolean isAllocated(Allocation allocation) {
        return allocation.machine().allocation(allocation.task()) == allocation;
    }

    /**
     * Stops tracking starts to removed machines, starts of completed tasks or ended jobs, and starts of tasks with a
     * later attempt. The last also stop being outstanding, since a leader begins a later attempt only once the earlier
     * start can no longer be executed. Called regularly.
     */
    void stopTrackingObsolete() {
        for (OutstandingStart start : List.copyOf(newestByTask.values())) {
            boolean superseded = hasLaterAttempt(start);
            if (superseded) {
                drop(start);
            }
            if (superseded || !cluster.contains(start.machine()) || !isOfUnfinishedTask(start)) {
                newestByTask.remove(start.attempt().task());
            }
        }
        eventLoop.setGauge("inherited.open", newestByTask.size());
    }

    private boolean hasLaterAttempt(OutstandingStart start) {
        return Attempts.openJob(start.attempt(), cluster)
                .map(job -> job.allocation(start.attempt().index()))
                .filter(allocation -> allocation.attempt() > start.attempt().number())
                .isPresent();
    }

    /** Marks a start as no longer outstanding, because it is no longer executable or its execution is harmless. */
    void drop(OutstandingStart start) {
        if (cluster.contains(start.machine())) {
            AgentState agent = registry.agentOf(start.machine());
            agent.outstandingStarts().removeUnanswered(start.attempt());
            startLogUpdater.updateStarts(agent);
        }
    }
}
