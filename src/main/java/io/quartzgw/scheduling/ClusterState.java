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
 * The leader's in-memory state: open jobs, machines and allocations. Only this class allocates and releases, so that
 * free capacity, team usage and zone counts stay consistent.
 *
 * <p>After a failover two things are unknown. An <em>unaccounted</em> task may run on a silent machine: it has no
 * allocation, is not done and may have been started by a former leader. An <em>unexplained</em> machine may run tasks
 * of jobs that are no longer open, and so belong to no job that this leader knows.
 */
public final class ClusterState {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

    private final EventLoop eventLoop;
    private final TreeMap<String, Job> jobs = new TreeMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Set<String> wasRemoved = new HashSet<>();
    private final Map<String, Resources> usageByTeam = new HashMap<>();
    /** Index of the jobs with a pending task: few among many that run. */
    private final Map<String, Job> pendingJobs = new TreeMap<>();

    /** Index of the jobs with an unaccounted task. */
    private final Map<String, Job> jobsWithUnaccountedTasks = new TreeMap<>();

    private final Set<Machine> unexplainedMachines = new HashSet<>();
    private Resources unexplainedCapacity = Resources.NONE;
    private final long term;
    private long attempts;
    private boolean changed = true;

    /** @param term of this leader, part of all attempt numbers */
    public ClusterState(EventLoop eventLoop, long term) {
        this.eventLoop = eventLoop;
        this.term = term;
    }

    // ---- jobs

    /** All jobs by id, including terminal ones that still have allocations. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** The jobs whose ids sort after the given one, in order. */
    public Collection<Job> jobsAfter(String id) {
        return jobs.tailMap(id, false).values();
    }

    /** The job with this id, if it is open or still has allocations. */
    public Optional<Job> findJob(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Adds an open job, or returns the one that was added before. */
    public Job add(OpenJob open) {
        changed = true;
        long ageMs = Math.max(0, eventLoop.wallClockMs() - open.acceptedAt());
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

    /** Marks those pending tasks of a job as unaccounted that a former leader may have started on a silent machine. */
    public void markUnaccounted(Job job) {
        update(job, Job::markStartedUnaccounted);
    }

    /** Makes the unaccounted tasks of a job pending again, once no silent machine can run one of them. */
    public void resolveUnaccounted(Job job) {
        update(job, Job::resolveUnaccounted);
    }

    // Every change of a job's tasks goes through here, so that team usage and the indexes stay consistent.
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

    /** Makes a job terminal: no task of it is started any more; it is removed with its last allocation. */
    public void terminate(Job job) {
        terminate(job, eventLoop.nowMs());
    }

    /** As {@link #terminate(Job)}, for a job that was cancelled or done at a moment before. */
    public void terminate(Job job, long endedAtMs) {
        LOG.atDebug().addKeyValue("job", job.id()).log("job terminal");
        update(job, terminated -> terminated.terminate(endedAtMs));
        removeIfDrained(job);
    }

    private void removeIfDrained(Job job) {
        if (job.isTerminal() && job.allocations().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    // ---- machines

    /** All machines by id. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine with this id, if it is known. */
    public Optional<Machine> findMachine(String id) {
        return Optional.ofNullable(machines.get(id));
    }

    /** Whether this very machine is part of the cluster: another one may have taken its id. */
    public boolean contains(Machine machine) {
        return machines.get(machine.id()) == machine;
    }

    /** Adds a machine. */
    public void add(Machine machine) {
        changed = true;
        machines.put(machine.id(), machine);
    }

    /** Removes a machine that certainly no longer exists, and releases its allocations: the machine is fenced. */
    public void remove(Machine machine) {
        machine.allocationsSnapshot().forEach(this::release);
        machine.fencing().unfenced().forEach(this::release);
        machines.remove(machine.id(), machine);
        wasRemoved.add(machine.id());
        setUnexplained(machine, false);
        changed = true;
    }

    /** Whether a machine was removed: a delayed heartbeat of it must not add it again. */
    public boolean wasRemoved(String machineId) {
        return wasRemoved.contains(machineId);
    }

    // ---- allocations

    /** A new attempt number, unique across leaders: the higher half is the term. */
    public long nextAttempt() {
        return (term << 32) + ++attempts;
    }

    /** Whether an attempt was begun by a former leader. */
    public boolean isOfFormerLeader(long attempt) {
        return attempt >>> 32 < term;
    }

    /** Assigns a task to a machine and reserves the resources there. */
    public Allocation allocate(Job job, int index, Machine machine, long attempt) {
        if (job.allocation(index) != null) {
            throw new IllegalStateException(job.task(index) + " is allocated already");
        }
        Allocation allocation = new Allocation(job, index, attempt, machine, eventLoop.nowMs());
        eventLoop.increment("placement.booked", 1);
        update(job, updated -> updated.addAllocation(allocation));
        machine.addAllocation(allocation);
        usageByTeam.merge(job.spec().team(), allocation.demand(), Resources::plus);
        logAllocation(allocation, "task allocated");
        return allocation;
    }

    /** Releases an allocation; the task is pending again unless it is done or its job is terminal. */
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
     * Keeps the allocation of an attempt that has ended but is unfenced. It takes no capacity of the machine any more;
     * its task is not pending, and counts as possibly running for quota, zones and gang.
     */
    public void retainUnfenced(Allocation allocation) {
        Machine machine = allocation.machine();
        machine.removeAllocation(allocation, eventLoop.nowMs());
        machine.fencing().add(allocation);
        allocation.markLost(eventLoop.nowMs());
        changed = true;
        logAllocation(allocation, "allocation retained");
    }

    /** Restores the allocation of an unfenced attempt that has been started after all. */
    public void restoreUnfenced(Allocation allocation) {
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

    /** Marks a task as done; it will not be started again. */
    public void markDone(Job job, int index) {
        update(job, updated -> updated.markDone(index));
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
     * Upper bound of a team's usage: the whole size of each unexplained machine counts in addition. Its tasks may
     * belong to terminal jobs of any team, which the open jobs don't name, and count against the quota until they are
     * gone.
     */
    public Resources maxPossibleUsage(String team) {
        return usageByTeam(team).plus(unexplainedCapacity);
    }

    /** Sets whether a machine is unexplained: whether it may run tasks that belong to no open job. */
    public void setUnexplained(Machine machine, boolean isUnexplained) {
        if (isUnexplained ? unexplainedMachines.add(machine) : unexplainedMachines.remove(machine)) {
            Resources size = machine.type().size();
            // Not summed again unless empty: after a failover hundreds of machines are explained one by one.
            unexplainedCapacity = unexplainedMachines.isEmpty()
                    ? Resources.NONE
                    : isUnexplained ? unexplainedCapacity.plus(size) : unexplainedCapacity.minus(size);
            changed = true;
        }
    }

    /** Whether anything has changed since the last call. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** Requests another scheduling pass. */
    public void markChanged() {
        changed = true;
    }
}
