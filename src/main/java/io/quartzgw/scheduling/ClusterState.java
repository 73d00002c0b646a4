package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Resources;
import io.quartzgw.submission.OpenJob;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's in-memory state: open jobs, machines and allocations. Only this class creates and releases allocations,
 * so that free capacity, team usage and zone counts stay consistent.
 *
 * <p>After a failover two things are unknown. An <em>unaccounted</em> task may run on an unresponsive machine: a
 * previous leader may have started it, it has not completed, and it has no allocation. And a machine may run
 * <em>orphans</em>, which are tasks of jobs that are no longer open: this leader does not track them.
 */
public final class ClusterState {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

    private final EventLoop eventLoop;
    private final TreeMap<String, Job> jobs = new TreeMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Set<String> removedMachineIds = new HashSet<>();
    private final Map<String, Resources> usageByTeam = new HashMap<>();
    /** Jobs with a pending task, by job ID. Usually only few of the open jobs have one. */
    private final Map<String, Job> pendingJobs = new TreeMap<>();

    /** Jobs with an unaccounted task, by job ID. */
    private final Map<String, Job> jobsWithUnaccountedTasks = new TreeMap<>();

    private final Set<Machine> possibleOrphanMachines = new HashSet<>();
    private Resources possibleOrphanCapacity = Resources.NONE;
    private final long term;
    private long attempts;
    private boolean changed = true;

    /** @param term this leader's term, which is part of all attempt numbers */
    public ClusterState(EventLoop eventLoop, long term) {
        this.eventLoop = eventLoop;
        this.term = term;
    }

    // ---- jobs

    /** All jobs, ordered by job ID, including terminal ones that still have allocations. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** The jobs whose IDs sort after the given ID, in that order. */
    public Collection<Job> jobsAfter(String id) {
        return jobs.tailMap(id, false).values();
    }

    /** The job with this ID, if it is open or still has allocations. */
    public Optional<Job> findJob(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Adds an open job, or returns the existing job with the same ID. */
    public Job add(OpenJob open) {
        changed = true;
        long ageMs = Math.max(0, eventLoop.wallClockMs() - open.acceptedAtMs());
        return jobs.computeIfAbsent(open.spec().id(), id -> {
            Job job = new Job(open, eventLoop.nowMs() - ageMs);
            LOG.atDebug()
                    .addKeyValue("job", id)
                    .addKeyValue("age_ms", ageMs)
                    .addKeyValue("spec", open.spec())
                    .log("job added");
            pendingJobs.put(id, job);
            return job;
        });
    }

    /** Jobs with a pending task. */
    public Collection<Job> pendingJobs() {
        return pendingJobs.values();
    }

    /** Jobs with an unaccounted task. */
    public Collection<Job> jobsWithUnaccountedTasks() {
        return jobsWithUnaccountedTasks.values();
    }

    /** Marks the pending tasks as unaccounted that a previous leader may have started on an unresponsive machine. */
    public void markUnaccounted(Job job) {
        update(job, Job::markStartedUnaccounted);
    }

    /** Makes the unaccounted tasks of a job pending again, once no unresponsive machine can run any of them. */
    public void resolveUnaccounted(Job job) {
        update(job, Job::resolveUnaccounted);
    }

    // All changes to a job's tasks are made through this method, so that team usage and the indexes stay consistent.
    private void update(Job job, Consumer<Job> change) {
        int before = job.unaccounted().cardinality();
        change.accept(job);
        int addedUnaccounted = job.unaccounted().cardinality() - before;
        if (addedUnaccounted != 0) {
            usageByTeam.merge(job.spec().team(), job.spec().demand().times(addedUnaccounted), Resources::plus);
        }
        index(pendingJobs, job, !job.pending().isEmpty());
        index(jobsWithUnaccountedTasks, job, !job.unaccounted().isEmpty());
        changed = true;
    }

    private static void index(Map<String, Job> index, Job job, boolean isMember) {
        if (isMember) {
            index.put(job.id(), job);
        } else {
            index.remove(job.id(), job);
        }
    }

    /** Makes a job terminal: its tasks are no longer started. It is removed together with its last allocation. */
    public void terminate(Job job) {
        terminate(job, eventLoop.nowMs());
    }

    /** As {@link #terminate(Job)}, for a job that was cancelled or completed at an earlier time. */
    public void terminate(Job job, long endedAtMs) {
        LOG.atDebug().addKeyValue("job", job.id()).log("job ended");
        update(job, terminated -> terminated.terminate(endedAtMs));
        removeIfDrained(job);
    }

    private void removeIfDrained(Job job) {
        if (job.isTerminal() && job.allocations().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    // ---- machines

    /** All machines, ordered by machine ID. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine with this ID, if it is part of the cluster. */
    public Optional<Machine> findMachine(String id) {
        return Optional.ofNullable(machines.get(id));
    }

    /**
     * Whether this machine object is part of the cluster: it may have been replaced by another one with the same ID.
     */
    public boolean contains(Machine machine) {
        return machines.get(machine.id()) == machine;
    }

    /** Adds a machine. */
    public void add(Machine machine) {
        changed = true;
        machines.put(machine.id(), machine);
    }

    /** Removes a machine that is known to be deleted, and so is fenced, and releases its allocations. */
    public void remove(Machine machine) {
        machine.allocationsSnapshot().forEach(this::release);
        machine.fencing().unfenced().forEach(this::release);
        machines.remove(machine.id(), machine);
        removedMachineIds.add(machine.id());
        setMayRunOrphans(machine, false);
        changed = true;
    }

    /** Whether a machine was removed. A delayed heartbeat must not add it again. */
    public boolean wasRemoved(String machineId) {
        return removedMachineIds.contains(machineId);
    }

    // ---- allocations

    /** Returns a new attempt number, unique across leaders: its upper 32 bits are the term. */
    public long nextAttempt() {
        return (term << 32) + ++attempts;
    }

    /** Whether a previous leader created the attempt. */
    public boolean isOfPreviousLeader(long attempt) {
        return attempt >>> 32 < term;
    }

    /** Allocates a task to a machine and reserves resources there. */
    public Allocation allocate(Job job, int index, Machine machine, long attempt) {
        if (job.allocation(index) != null) {
            throw new IllegalStateException(job.task(index) + " already has an allocation");
        }
        Allocation allocation = new Allocation(job, index, attempt, machine, eventLoop.nowMs());
        eventLoop.increment("placement.booked", 1);
        update(job, updated -> updated.addAllocation(allocation));
        machine.addAllocation(allocation);
        usageByTeam.merge(job.spec().team(), allocation.demand(), Resources::plus);
        logAllocation(allocation, "task allocated");
        return allocation;
    }

    /** Releases an allocation. The task becomes pending again unless it has completed or its job is terminal. */
    public void release(Allocation allocation) {
        Machine machine = allocation.machine();
        if (machine.allocation(allocation.task()) == allocation) {
            machine.removeAllocation(allocation, eventLoop.nowMs());
        } else if (!machine.fencing().remove(allocation)) {
            return;
        }
        update(allocation.job(), job -> job.removeAllocation(allocation));
        usageByTeam.merge(allocation.job().spec().team(), allocation.demand(), Resources::minus);
        logAllocation(allocation, "allocation released");
        removeIfDrained(allocation.job());
    }

    /**
     * Keeps the allocation of an attempt that has ended but is unfenced. The allocation no longer reserves capacity of
     * the machine. Its task does not become pending, and counts as possibly running for quota, zone and gang checks.
     */
    public void retainUnfencedAllocation(Allocation allocation) {
        Machine machine = allocation.machine();
        machine.removeAllocation(allocation, eventLoop.nowMs());
        machine.fencing().add(allocation);
        allocation.markLost(eventLoop.nowMs());
        changed = true;
        logAllocation(allocation, "allocation retained");
    }

    /** Restores the allocation of an unfenced attempt that an agent has started again after all. */
    public void restoreUnfencedAllocation(Allocation allocation) {
        Machine machine = allocation.machine();
        machine.fencing().remove(allocation);
        machine.addAllocation(allocation);
        changed = true;
        logAllocation(allocation, "allocation restored");
    }

    private static void logAllocation(Allocation allocation, String message) {
        LOG.atDebug()
                .addKeyValue("task", allocation.task())
                .addKeyValue("attempt", allocation.attempt())
                .addKeyValue("machine", allocation.machine().id())
                .addKeyValue("phase", allocation.phase())
                .addKeyValue("stopping", allocation.stopping())
                .log(message);
    }

    /** Marks a task as completed, so that it is not started again. */
    public void markCompleted(Job job, int index) {
        update(job, updated -> updated.markCompleted(index));
        Allocation allocation = job.allocation(index);
        if (allocation != null && allocation.machine().fencing().isUnfenced(allocation)) {
            release(allocation);
        }
    }

    /** The resources of a team's allocated and unaccounted tasks. */
    public Resources usageByTeam(String team) {
        return usageByTeam.getOrDefault(team, Resources.NONE);
    }

    /**
     * Upper bound of a team's usage, which includes the full size of each machine that may run orphans. These may
     * belong to any team, and count against its quota until they have ended.
     */
    public Resources maxPossibleUsage(String team) {
        return usageByTeam(team).plus(possibleOrphanCapacity);
    }

    /** Sets whether a machine may run orphans, which are tasks of jobs that are no longer open. */
    public void setMayRunOrphans(Machine machine, boolean mayRunOrphans) {
        if (mayRunOrphans ? possibleOrphanMachines.add(machine) : possibleOrphanMachines.remove(machine)) {
            Resources size = machine.type().size();
            // Updated incrementally: hundreds of machines may change one by one after a failover. Reset when empty.
            possibleOrphanCapacity = possibleOrphanMachines.isEmpty()
                    ? Resources.NONE
                    : mayRunOrphans ? possibleOrphanCapacity.plus(size) : possibleOrphanCapacity.minus(size);
            changed = true;
        }
    }

    /** Returns whether the state has changed since the last call, and resets that flag. */
    public boolean takeChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** Requests another scheduling pass. */
    public void markChanged() {
        changed = true;
    }
}
