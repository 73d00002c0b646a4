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
 * The starts of former leaders that may still be on their way. Each is outstanding on its machine like a call of this
 * leader without an answer, so its task is placed nowhere else while that machine exists ({@link AllocationRelease}).
 */
final class InheritedStarts {
    private final LeaderContext leader;
    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final StartLogUpdater startLogUpdater;
    /** By task of an open job; the newest start of a task proves that the earlier ones are void. */
    private final Map<String, OutstandingStart> newestByTask = new HashMap<>();

    /** Allocations of inherited starts that must not be sent again yet. */
    private final Set<Allocation> withheldAllocations = new LinkedHashSet<>();

    InheritedStarts(LeaderContext leader, AgentRegistry registry, StartLogUpdater startLogUpdater) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.startLogUpdater = startLogUpdater;
    }

    /**
     * Takes over the starts that may have been sent to machines that exist. They are outstanding, also those of jobs
     * that have ended.
     *
     * @return how many tasks of open jobs, which are not done, they are for
     */
    int inherit(Collection<MachineStarts> previousStarts) {
        Map<String, OutstandingStart> newest = new HashMap<>();
        for (MachineStarts machineStarts : previousStarts) {
            // A machine is marked as used before a start is sent to it.
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

    /** A start is announced before it is recorded, and recorded before it is sent. */
    private boolean mayHaveBeenSent(Attempt start) {
        return cluster.findJob(start.job())
                .filter(job -> !job.isTerminal())
                .map(job -> start.index() < job.recordedStartLimit())
                .orElse(true);
    }

    private boolean isOfUnfinishedTask(OutstandingStart start) {
        Attempt attempt = start.attempt();
        return Attempts.openJob(attempt, cluster)
                .filter(job -> !job.isDone(attempt.index()))
                .isPresent();
    }

    private void markOutstanding(OutstandingStart start) {
        AgentState agent = registry.agentOf(start.machine());
        agent.outstandingStarts().addInherited(start.attempt(), CommandFence.ofPreviousLeader(leader.term()));
    }

    // The others are void, and leave the log.
    private void updateLog(String machineId) {
        cluster.findMachine(machineId)
                .ifPresentOrElse(
                        machine -> startLogUpdater.updateStarts(registry.agentOf(machine)),
                        () -> startLogUpdater.machineRemoved(machineId));
    }

    /**
     * Allocates the unaccounted tasks of a job whose start was inherited to the machines of those starts, with the same
     * attempts, as if they had been lost there. Called when no silent machine can run them.
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
            allocation.withholdStart(true);
            withheldAllocations.add(allocation);
        } else {
            cluster.retainUnfenced(allocation);
        }
    }

    /**
     * Sends the inherited starts again for which there is quota. A start may have been announced and its task given up
     * without being sent; then the former leader has given its share of the quota to another task.
     */
    void resendWithinQuota(Predicate<Job> isWithinQuota) {
        withheldAllocations.removeIf(allocation -> !allocation.isLost() || !isAllocated(allocation));
        List<Allocation> permitted = withheldAllocations.stream()
                .filter(allocation -> isWithinQuota.test(allocation.job()))
                .toList();
        for (Allocation allocation : permitted) {
            withheldAllocations.remove(allocation);
            allocation.withholdStart(false);
            registry.requestStart(allocation);
        }
    }

    private static boolean isAllocated(Allocation allocation) {
        return allocation.machine().allocation(allocation.task()) == allocation;
    }

    /**
     * Forgets the starts that bind no task any more: those to machines that are gone, of tasks that are done, and of
     * tasks that have a later attempt, which no leader begins before an earlier one is void. Called regularly.
     */
    void dropObsolete() {
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

    /** Forgets a start that can't be executed any more, or harms nobody if it is. */
    void drop(OutstandingStart start) {
        if (cluster.contains(start.machine())) {
            AgentState agent = registry.agentOf(start.machine());
            agent.outstandingStarts().removeUnanswered(start.attempt());
            startLogUpdater.updateStarts(agent);
        }
    }
}
