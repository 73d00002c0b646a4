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
import java.util.Optional;
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
    private final StartAnnouncer announcer;
    private final EndedJobStarts endedJobStarts;
    /** By task of an open job; the newest start of a task proves that the earlier ones are void. */
    private final Map<String, InheritedStart> newestByTask = new HashMap<>();

    /** Allocations of inherited starts that must not be sent again yet. */
    private final Set<Allocation> withheld = new LinkedHashSet<>();

    InheritedStarts(
            LeaderContext leader,
            AgentRegistry registry,
            StartAnnouncer announcer,
            EndedJobs endedJobs,
            long cancelMs) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.announcer = announcer;
        this.endedJobStarts = new EndedJobStarts(leader, endedJobs, cancelMs, this::forget);
    }

    /**
     * Takes over the starts that may have been sent to machines that exist, of tasks that are not done.
     *
     * @return how many tasks of open jobs they are for
     */
    int inherit(Collection<MachineStarts> formerStarts) {
        for (MachineStarts machineStarts : formerStarts) {
            // A machine is marked as used before a start is sent to it.
            cluster.findMachine(machineStarts.machine())
                    .filter(Machine::hasRunTasks)
                    .ifPresent(machine -> machineStarts.starts().forEach(start -> add(machine, start)));
        }
        newestByTask.values().forEach(this::markOutstanding);
        formerStarts.forEach(machineStarts -> announceRest(machineStarts.machine()));
        return newestByTask.size();
    }

    private void add(Machine machine, Attempt attempt) {
        InheritedStart start = new InheritedStart(machine, attempt);
        Optional<Job> openJob = Attempts.openJob(attempt, cluster);
        if (openJob.isEmpty()) {
            markOutstanding(start);
            endedJobStarts.add(start);
        } else if (mayHaveBeenSent(attempt, openJob.get())) {
            newestByTask.merge(attempt.task(), start, InheritedStart::newer);
        }
    }

    /** A start is announced before it is recorded, and recorded before it is sent. */
    private static boolean mayHaveBeenSent(Attempt attempt, Job job) {
        return attempt.index() < job.recordedStartLimit() && !job.isDone(attempt.index());
    }

    private void markOutstanding(InheritedStart start) {
        AgentState agent = registry.agentOf(start.machine());
        agent.outstandingStarts().inherited(start.attempt(), CommandFence.ofFormerLeader(leader.term()));
    }

    // The others are void, and leave the log.
    private void announceRest(String machineId) {
        cluster.findMachine(machineId)
                .ifPresentOrElse(
                        machine -> announcer.announce(registry.agentOf(machine)),
                        () -> announcer.machineRemoved(machineId));
    }

    /**
     * Allocates the unaccounted tasks of a job whose start was inherited to the machines of those starts, with the same
     * attempts, as if they had been lost there. Called when no silent machine can run them.
     */
    void allocateUnaccounted(Job job) {
        job.unaccounted().stream().boxed().toList().forEach(index -> allocateIfInherited(job, index));
    }

    private void allocateIfInherited(Job job, int index) {
        InheritedStart start = newestByTask.get(job.task(index));
        if (start == null || !cluster.contains(start.machine())) {
            return;
        }
        Allocation allocation =
                cluster.allocate(job, index, start.machine(), start.attempt().number());
        allocation.markStartSent();
        if (job.zonesAllowed(start.machine().zone())) {
            allocation.markLost(eventLoop.nowMs());
            allocation.withholdStart(true);
            withheld.add(allocation);
        } else {
            cluster.retainUnfenced(allocation);
        }
    }

    /**
     * Sends the inherited starts again for which there is quota. A start may have been announced and its task given up
     * without being sent; then the former leader has given its share of the quota to another task.
     */
    void permit(Predicate<Job> isWithinQuota) {
        withheld.removeIf(allocation -> !allocation.isLost() || !isAllocated(allocation));
        List<Allocation> permitted = withheld.stream()
                .filter(allocation -> isWithinQuota.test(allocation.job()))
                .toList();
        for (Allocation allocation : permitted) {
            withheld.remove(allocation);
            allocation.withholdStart(false);
            registry.requestStart(allocation);
        }
    }

    private static boolean isAllocated(Allocation allocation) {
        return allocation.machine().allocation(allocation.task()) == allocation;
    }

    /**
     * Forgets the starts that are void: those to machines that are gone, of tasks that are done, and of tasks that have
     * a later attempt, which no leader begins before. Called regularly.
     */
    void forgetVoid() {
        for (InheritedStart start : List.copyOf(newestByTask.values())) {
            Optional<Job> job = cluster.findJob(start.attempt().job());
            if (!cluster.contains(start.machine())) {
                newestByTask.remove(start.attempt().task());
            } else if (job.isEmpty()) {
                newestByTask.remove(start.attempt().task());
                endedJobStarts.add(start);
            } else if (isVoid(start, job.get())) {
                newestByTask.remove(start.attempt().task());
                forget(start);
            }
        }
        eventLoop.setGauge("inherited.open", newestByTask.size());
    }

    private static boolean isVoid(InheritedStart start, Job job) {
        Allocation allocation = job.allocation(start.attempt().index());
        return job.isDone(start.attempt().index())
                || (allocation != null && allocation.attempt() > start.attempt().number());
    }

    private void forget(InheritedStart start) {
        AgentState agent = registry.agentOf(start.machine());
        agent.outstandingStarts().inheritedIsVoid(start.attempt());
        announcer.announce(agent);
    }
}
