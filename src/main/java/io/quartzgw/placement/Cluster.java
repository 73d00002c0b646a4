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

/**
 * The leader's book: open jobs, machines, and which task has a place where. Only this class books and
 * releases, so that rooms, quotas and zones always add up.
 */
public final class Cluster {
    private final Kernel kernel;
    private final Map<String, Job> jobs = new TreeMap<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Set<String> gone = new HashSet<>();
    private final Map<String, Resources> teamUse = new HashMap<>();
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

    public Job job(String id) {
        return jobs.get(id);
    }

    /** Adds an open job, or returns the one that is there. */
    public Job add(OpenJob open) {
        changed = true;
        long age = Math.max(0, kernel.wallClock() - open.acceptedAt());
        return jobs.computeIfAbsent(open.spec().id(), id -> new Job(open, kernel.now() - age));
    }

    /** Ends a job: nothing of it is started any more; it leaves the book with its last booking. */
    public void end(Job job) {
        changed = true;
        job.end();
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

    public Booking book(Job job, int index, Machine machine, long attempt) {
        if (job.booking(index) != null) {
            throw new IllegalStateException(job.task(index) + " has a place already");
        }
        Booking booking = new Booking(job, index, attempt, machine, kernel.now());
        job.booked(booking);
        machine.booked(booking);
        teamUse.merge(job.spec().team(), booking.demand(), Resources::plus);
        changed = true;
        return booking;
    }

    /** Frees the place; the task waits again unless it is done or its job over. */
    public void release(Booking booking) {
        if (booking.machine().booking(booking.task()) != booking) {
            return;
        }
        booking.job().released(booking);
        booking.machine().released(booking, kernel.now());
        teamUse.merge(booking.job().spec().team(), booking.demand(), Resources::minus);
        forgetIfGone(booking.job());
        changed = true;
    }

    public void markDone(Job job, int index) {
        job.markDone(index);
        changed = true;
    }

    /** What a team's tasks take or may take: booked ones and those in doubt. */
    public Resources teamUse(String team) {
        Resources use = teamUse.getOrDefault(team, Resources.NONE);
        for (Job job : jobs.values()) {
            if (!job.doubted().isEmpty() && job.spec().team().equals(team)) {
                use = use.plus(job.spec().demand().times(job.doubted().cardinality()));
            }
        }
        return use;
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
