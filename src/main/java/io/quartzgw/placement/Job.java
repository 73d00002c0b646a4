package io.quartzgw.placement;

import io.quartzgw.submission.JobSpec;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An open job as the leader sees it. Each task is in exactly one state: done, booked on a machine, unaccounted (it may
 * run on a machine that is silent since the takeover), or waiting for a place.
 */
public final class Job {
    private final OpenJob open;
    private final long submittedAt;
    private final BitSet done = new BitSet();
    private final BitSet recorded = new BitSet();
    private final BitSet waiting = new BitSet();
    private final BitSet unaccounted = new BitSet();
    private final Map<Integer, Booking> bookings = new HashMap<>();
    private final Map<String, Integer> perZone = new HashMap<>();
    private final Set<String> avoided = new HashSet<>();
    private int startBelow;
    private boolean over;
    private int errors;
    private long retryAt;

    /** @param submittedAt when it was accepted, on this node's steady clock */
    Job(OpenJob open, long submittedAt) {
        this.open = open;
        this.submittedAt = submittedAt;
        waiting.set(0, open.spec().tasks());
    }

    public JobSpec spec() {
        return open.spec();
    }

    public OpenJob open() {
        return open;
    }

    public String id() {
        return open.spec().id();
    }

    public String task(int index) {
        return id() + "/" + index;
    }

    public long submittedAt() {
        return submittedAt;
    }

    /** When the job should be done, on this node's steady clock; far away when it has no deadline. */
    public long dueAt() {
        Double deadline = spec().deadlineS();
        return deadline == null ? Long.MAX_VALUE : submittedAt + (long) (deadline * 1000);
    }

    // ---- tasks

    public boolean isDone(int index) {
        return done.get(index);
    }

    public BitSet done() {
        return done;
    }

    public int doneCount() {
        return done.cardinality();
    }

    public boolean complete() {
        return !spec().service() && done.cardinality() == spec().tasks();
    }

    public Booking booking(int index) {
        return bookings.get(index);
    }

    public Collection<Booking> bookings() {
        return bookings.values();
    }

    public List<Booking> bookingsCopy() {
        return new ArrayList<>(bookings.values());
    }

    /** The number of tasks that workers report as running. */
    public int runningCount() {
        return (int) bookings.values().stream()
                .filter(b -> b.phase() == Booking.Phase.RUNNING)
                .count();
    }

    public BitSet waiting() {
        return waiting;
    }

    public int nextWaiting() {
        return waiting.nextSetBit(0);
    }

    public BitSet unaccounted() {
        return unaccounted;
    }

    void booked(Booking booking) {
        waiting.clear(booking.index());
        unaccounted.clear(booking.index());
        bookings.put(booking.index(), booking);
        perZone.merge(booking.machine().zone(), 1, Integer::sum);
    }

    void released(Booking booking) {
        bookings.remove(booking.index());
        perZone.merge(booking.machine().zone(), -1, Integer::sum);
        if (!over && !done.get(booking.index())) {
            waiting.set(booking.index());
        }
    }

    /** Whether the task's finish is in the state service. */
    public boolean recorded(int index) {
        return recorded.get(index);
    }

    public BitSet recorded() {
        return recorded;
    }

    void markDone(int index) {
        done.set(index);
        waiting.clear(index);
        unaccounted.clear(index);
    }

    /** Tasks from this one on have never been started by anyone, as the state service tells. */
    public int startBelow() {
        return startBelow;
    }

    public void startBelow(int recorded) {
        startBelow = Math.max(startBelow, recorded);
    }

    void markStartedUnaccounted() {
        BitSet started = waiting.get(0, startBelow);
        unaccounted.or(started);
        waiting.andNot(started);
    }

    void resolveUnaccounted() {
        if (!over) {
            waiting.or(unaccounted);
        }
        unaccounted.clear();
    }

    /** Whether a gang has lost a member while others still have their places: it restarts whole. */
    public boolean broken() {
        return spec().gang() && !waiting.isEmpty() && !bookings.isEmpty();
    }

    /** How many tasks are or may be running anywhere. */
    public int mayRun() {
        return bookings.size() + unaccounted.cardinality();
    }

    /** The CPU time that its waiting tasks will take, as far as its owner guesses. */
    public double waitingWork() {
        return waiting.cardinality() * spec().demand().cpus() * spec().estimateS();
    }

    // ---- zones

    /** Whether one more task may start in the zone, given where the others are or may be. */
    public boolean zoneAllowed(String zone) {
        if (spec().spread() && perZone.getOrDefault(zone, 0) + unaccounted.cardinality() >= spec().tasksPerZone()) {
            return false;
        }
        if (!spec().oneZone() || mayRun() == 0) {
            return true;
        }
        // An unaccounted task may be in any zone: until it is found, nothing else of the job starts.
        return unaccounted.isEmpty() && perZone.getOrDefault(zone, 0) == bookings.size();
    }

    public int inZone(String zone) {
        return perZone.getOrDefault(zone, 0);
    }

    // ---- end and failures

    public boolean over() {
        return over;
    }

    void end() {
        over = true;
        waiting.clear();
        unaccounted.clear();
    }

    /** Notes a failed attempt: the next one waits, longer each time, and avoids the machine. */
    public void failedOn(String machine, long now, long firstPauseMs) {
        avoided.add(machine);
        errors++;
        retryAt = now + (firstPauseMs << Math.min(errors - 1, 6));
    }

    public void delay(long until) {
        retryAt = Math.max(retryAt, until);
    }

    public int errors() {
        return errors;
    }

    public long retryAt() {
        return retryAt;
    }

    public boolean avoids(String machine) {
        return avoided.contains(machine);
    }

    /** Forgets which machines failed it, when there is no other left to try. */
    public void forgiveMachines() {
        avoided.clear();
    }
}
