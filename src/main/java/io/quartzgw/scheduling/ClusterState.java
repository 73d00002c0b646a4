package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Resources;
import io.quartzgw.submission.OpenJob;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's state: open jobs, machines, and which task has a place where. Only this class books and releases, so
 * that rooms, quotas and zones always add up.
 */
public final class ClusterState {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

    private final EventLoop kernel;
    private final TreeMap<String, Job> jobs = new TreeMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Set<String> wasRemoved = new HashSet<>();
    private final Map<String, Resources> usageByTeam = new HashMap<>();
    /** Jobs with a task that waits for a place, and jobs with an unaccounted task: few among many that run. */
    private final Map<String, Job> pendingJobs = new TreeMap<>();

    private final Map<String, Job> jobsWithUnaccountedTasks = new TreeMap<>();
    private final Set<Machine> unexplainedMachines = new HashSet<>();
    private Resources unexplainedCapacity = Resources.NONE;
    private final long term;
    private long attempts;
    private boolean changed = true;

    public ClusterState(EventLoop kernel, long term) {
        this.kernel = kernel;
        this.term = term;
    }

    // ---- jobs

    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** The jobs whose names come after one, in their order. */
    public Collection<Job> jobsAfter(String id) {
        return jobs.tailMap(id, false).values();
    }

    public Job job(String id) {
        return jobs.get(id);
    }

    /** Adds an open job, or returns the one that is there. */
    public Job add(OpenJob open) {
        changed = true;
        long age = Math.max(0, kernel.wallClockMs() - open.acceptedAt());
        return jobs.computeIfAbsent(open.spec().id(), id -> {
            Job job = new Job(open, kernel.nowMs() - age);
            LOG.debug("{} is open since {} ms: {}", id, age, open.spec());
            pendingJobs.put(id, job);
            return job;
        });
    }

    /** Jobs with a task that waits for a place. */
    public Collection<Job> pendingJobs() {
        return pendingJobs.values();
    }

    /** Jobs with an unaccounted task. */
    public Collection<Job> jobsWithUnaccountedTasks() {
        return jobsWithUnaccountedTasks.values();
    }

    /** Marks the waiting tasks of a job as unaccounted that a former leader may have started on a silent machine. */
    public void markUnaccounted(Job job) {
        update(job, Job::markStartedUnaccounted);
    }

    /** Settles a job: whatever of it is not explained by now runs nowhere. */
    public void resolveUnaccounted(Job job) {
        update(job, Job::resolveUnaccounted);
    }

    // Every change of a job's tasks goes through here, so that the sums and the short lists stay true.
    private void update(Job job, Consumer<Job> change) {
        int before = job.unaccounted().cardinality();
        change.accept(job);
        int more = job.unaccounted().cardinality() - before;
        if (more != 0) {
            usageByTeam.merge(job.spec().team(), job.spec().demand().times(more), Resources::plus);
        }
        index(pendingJobs, job, !job.pending().isEmpty());
        index(jobsWithUnaccountedTasks, job, !job.unaccounted().isEmpty());
        changed = true;
    }

    private static void index(Map<String, Job> list, Job job, boolean belongs) {
        if (belongs) {
            list.put(job.id(), job);
        } else {
            list.remove(job.id(), job);
        }
    }

    /** Ends a job: nothing of it is started any more; it leaves the cluster state with its last booking. */
    public void terminate(Job job) {
        LOG.debug("{} is over", job.id());
        update(job, Job::terminate);
        removeIfDrained(job);
    }

    private void removeIfDrained(Job job) {
        if (job.isTerminal() && job.allocations().isEmpty()) {
            jobs.remove(job.id(), job);
        }
    }

    // ---- machines

    public Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String id) {
        return machines.get(id);
    }

    public void add(Machine machine) {
        changed = true;
        machines.put(machine.id(), machine);
    }

    /** Takes a machine out that is surely gone, with everything that was on it. */
    public void remove(Machine machine) {
        machine.allocationsSnapshot().forEach(this::release);
        machines.remove(machine.id(), machine);
        wasRemoved.add(machine.id());
        unexplainedMachines(machine, false);
        changed = true;
    }

    /** Whether a machine is surely gone: a late report of it must not bring it back. */
    public boolean wasRemoved(String machineId) {
        return wasRemoved.contains(machineId);
    }

    // ---- bookings

    /** A task's attempts are unique across leaders: the term is the higher half. */
    public long nextAttempt() {
        return (term << 32) + ++attempts;
    }

    /** Assigns a task to a machine and reserves the resources there. */
    public Allocation allocate(Job job, int index, Machine machine, long attempt) {
        if (job.allocation(index) != null) {
            throw new IllegalStateException(job.task(index) + " has a place already");
        }
        Allocation booking = new Allocation(job, index, attempt, machine, kernel.nowMs());
        kernel.increment("placement.booked", 1);
        update(job, booked -> booked.addAllocation(booking));
        machine.addAllocation(booking);
        usageByTeam.merge(job.spec().team(), booking.demand(), Resources::plus);
        logAllocation(booking, "task is booked");
        return booking;
    }

    /** Frees the place; the task waits again unless it is done or its job over. */
    public void release(Allocation booking) {
        if (booking.machine().allocation(booking.task()) != booking) {
            return;
        }
        update(booking.job(), job -> job.removeAllocation(booking));
        booking.machine().removeAllocation(booking, kernel.nowMs());
        usageByTeam.merge(booking.job().spec().team(), booking.demand(), Resources::minus);
        logAllocation(booking, "booking is released");
        removeIfDrained(booking.job());
    }

    private static void logAllocation(Allocation booking, String message) {
        LOG.atDebug()
                .addKeyValue("task", booking.task())
                .addKeyValue("attempt", booking.attempt())
                .addKeyValue("machine", booking.machine().id())
                .addKeyValue("phase", booking.phase())
                .addKeyValue("stopping", booking.stopping())
                .log(message);
    }

    public void markDone(Job job, int index) {
        update(job, done -> done.markDone(index));
    }

    /** What a team's tasks take or may take: booked ones and unaccounted ones. */
    public Resources usageByTeam(String team) {
        return usageByTeam.getOrDefault(team, Resources.NONE);
    }

    /**
     * What a team's tasks may take at the most. On a machine that is not verified yet, or that reports tasks the leader
     * has no place for, there may be tasks of jobs that are over: the open jobs don't tell of those, and until they are
     * gone they count against their team's limit, whichever it is.
     */
    public Resources maxPossibleUsage(String team) {
        return usageByTeam(team).plus(unexplainedCapacity);
    }

    /** Says whether something may be on a machine that the open jobs don't explain. */
    public void unexplainedMachines(Machine machine, boolean isUnexplained) {
        if (isUnexplained ? unexplainedMachines.add(machine) : unexplainedMachines.remove(machine)) {
            Resources size = machine.type().size();
            // Not summed anew, but for none: at a takeover hundreds of machines are explained one by one.
            unexplainedCapacity = unexplainedMachines.isEmpty()
                    ? Resources.NONE
                    : isUnexplained ? unexplainedCapacity.plus(size) : unexplainedCapacity.minus(size);
            changed = true;
        }
    }

    /** Whether anything has changed since this was last asked. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    public void markChanged() {
        changed = true;
    }
}
