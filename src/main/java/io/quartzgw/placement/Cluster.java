package io.quartzgw.placement;

import io.quartzgw.loop.Kernel;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.Resources;
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
public final class Cluster {
    private static final Logger LOG = LoggerFactory.getLogger(Cluster.class);

    private final Kernel kernel;
    private final TreeMap<String, Job> jobs = new TreeMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Set<String> gone = new HashSet<>();
    private final Map<String, Resources> teamUse = new HashMap<>();
    /** Jobs with a task that waits for a place, and jobs with an unaccounted task: few among many that run. */
    private final Map<String, Job> waiting = new TreeMap<>();

    private final Map<String, Job> withUnaccounted = new TreeMap<>();
    private final Set<Machine> unexplained = new HashSet<>();
    private Resources unexplainedRoom = Resources.NONE;
    private final long term;
    private long attempts;
    private boolean changed = true;

    public Cluster(Kernel kernel, long term) {
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
        long age = Math.max(0, kernel.wallClock() - open.acceptedAt());
        return jobs.computeIfAbsent(open.spec().id(), id -> {
            Job job = new Job(open, kernel.now() - age);
            LOG.debug("{} is open since {} ms: {}", id, age, open.spec());
            waiting.put(id, job);
            return job;
        });
    }

    /** Jobs with a task that waits for a place. */
    public Collection<Job> waitingJobs() {
        return waiting.values();
    }

    /** Jobs with an unaccounted task. */
    public Collection<Job> jobsWithUnaccounted() {
        return withUnaccounted.values();
    }

    /** Marks the waiting tasks of a job as unaccounted that a former leader may have started on a silent machine. */
    public void markUnaccounted(Job job) {
        alter(job, Job::markStartedUnaccounted);
    }

    /** Settles a job: whatever of it is not explained by now runs nowhere. */
    public void resolveUnaccounted(Job job) {
        alter(job, Job::resolveUnaccounted);
    }

    // Every change of a job's tasks goes through here, so that the sums and the short lists stay true.
    private void alter(Job job, Consumer<Job> change) {
        int before = job.unaccounted().cardinality();
        change.accept(job);
        int more = job.unaccounted().cardinality() - before;
        if (more != 0) {
            teamUse.merge(job.spec().team(), job.spec().demand().times(more), Resources::plus);
        }
        index(waiting, job, !job.waiting().isEmpty());
        index(withUnaccounted, job, !job.unaccounted().isEmpty());
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
    public void end(Job job) {
        LOG.debug("{} is over", job.id());
        alter(job, Job::end);
        forgetIfGone(job);
    }

    private void forgetIfGone(Job job) {
        if (job.over() && job.bookings().isEmpty()) {
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
        machine.bookingsCopy().forEach(this::release);
        machines.remove(machine.id(), machine);
        gone.add(machine.id());
        unexplained(machine, false);
        changed = true;
    }

    /** Whether a machine is surely gone: a late report of it must not bring it back. */
    public boolean gone(String machineId) {
        return gone.contains(machineId);
    }

    // ---- bookings

    /** A task's attempts are unique across leaders: the term is the higher half. */
    public long nextAttempt() {
        return (term << 32) + ++attempts;
    }

    /** Assigns a task to a machine and reserves the resources there. */
    public Booking book(Job job, int index, Machine machine, long attempt) {
        if (job.booking(index) != null) {
            throw new IllegalStateException(job.task(index) + " has a place already");
        }
        Booking booking = new Booking(job, index, attempt, machine, kernel.now());
        kernel.count("placement.booked", 1);
        alter(job, booked -> booked.booked(booking));
        machine.booked(booking);
        teamUse.merge(job.spec().team(), booking.demand(), Resources::plus);
        log(booking, "task is booked");
        return booking;
    }

    /** Frees the place; the task waits again unless it is done or its job over. */
    public void release(Booking booking) {
        if (booking.machine().booking(booking.task()) != booking) {
            return;
        }
        alter(booking.job(), job -> job.released(booking));
        booking.machine().released(booking, kernel.now());
        teamUse.merge(booking.job().spec().team(), booking.demand(), Resources::minus);
        log(booking, "booking is released");
        forgetIfGone(booking.job());
    }

    private static void log(Booking booking, String message) {
        LOG.atDebug()
                .addKeyValue("task", booking.task())
                .addKeyValue("attempt", booking.attempt())
                .addKeyValue("machine", booking.machine().id())
                .addKeyValue("phase", booking.phase())
                .addKeyValue("stopping", booking.stopping())
                .log(message);
    }

    public void markDone(Job job, int index) {
        alter(job, done -> done.markDone(index));
    }

    /** What a team's tasks take or may take: booked ones and unaccounted ones. */
    public Resources teamUse(String team) {
        return teamUse.getOrDefault(team, Resources.NONE);
    }

    /**
     * What a team's tasks may take at the most. On a machine that is not verified yet, or that reports tasks the leader
     * has no place for, there may be tasks of jobs that are over: the open jobs don't tell of those, and until they are
     * gone they count against their team's limit, whichever it is.
     */
    public Resources mayUse(String team) {
        return teamUse(team).plus(unexplainedRoom);
    }

    /** Says whether something may be on a machine that the open jobs don't explain. */
    public void unexplained(Machine machine, boolean so) {
        if (so ? unexplained.add(machine) : unexplained.remove(machine)) {
            Resources size = machine.type().size();
            // Not summed anew, but for none: at a takeover hundreds of machines are explained one by one.
            unexplainedRoom = unexplained.isEmpty()
                    ? Resources.NONE
                    : so ? unexplainedRoom.plus(size) : unexplainedRoom.minus(size);
            changed = true;
        }
    }

    /** Whether anything has changed since this was last asked. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    public void touch() {
        changed = true;
    }
}
