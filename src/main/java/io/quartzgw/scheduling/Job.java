package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
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
    private final BitSet recordedDone = new BitSet();
    private final BitSet pending = new BitSet();
    private final BitSet unaccounted = new BitSet();
    private final Map<Integer, Allocation> allocations = new HashMap<>();
    private final Map<String, Integer> tasksPerZone = new HashMap<>();
    private final Set<String> excludedMachines = new HashSet<>();
    private int recordedStartLimit;
    private boolean isTerminal;
    private int failures;
    private long retryAt;

    /** @param submittedAt when it was accepted, on this node's steady clock */
    Job(OpenJob open, long submittedAt) {
        this.open = open;
        this.submittedAt = submittedAt;
        pending.set(0, open.spec().tasks());
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

    public Allocation allocation(int index) {
        return allocations.get(index);
    }

    public Collection<Allocation> allocations() {
        return allocations.values();
    }

    public List<Allocation> allocationsSnapshot() {
        return new ArrayList<>(allocations.values());
    }

    /** The number of tasks that workers report as running. */
    public int runningCount() {
        return (int) allocations.values().stream()
                .filter(b -> b.phase() == Allocation.Phase.RUNNING)
                .count();
    }

    public BitSet pending() {
        return pending;
    }

    public int nextPending() {
        return pending.nextSetBit(0);
    }

    public BitSet unaccounted() {
        return unaccounted;
    }

    void addAllocation(Allocation booking) {
        pending.clear(booking.index());
        unaccounted.clear(booking.index());
        allocations.put(booking.index(), booking);
        tasksPerZone.merge(booking.machine().zone(), 1, Integer::sum);
    }

    void removeAllocation(Allocation booking) {
        allocations.remove(booking.index());
        tasksPerZone.merge(booking.machine().zone(), -1, Integer::sum);
        if (!isTerminal && !done.get(booking.index())) {
            pending.set(booking.index());
        }
    }

    /** Whether the task's finish is in the state service. */
    public boolean recordedDone(int index) {
        return recordedDone.get(index);
    }

    public BitSet recordedDone() {
        return recordedDone;
    }

    void markDone(int index) {
        done.set(index);
        pending.clear(index);
        unaccounted.clear(index);
    }

    /** Tasks from this one on have never been started by anyone, as the state service tells. */
    public int recordedStartLimit() {
        return recordedStartLimit;
    }

    public void recordedStartLimit(int recorded) {
        recordedStartLimit = Math.max(recordedStartLimit, recorded);
    }

    void markStartedUnaccounted() {
        BitSet started = pending.get(0, recordedStartLimit);
        unaccounted.or(started);
        pending.andNot(started);
    }

    void resolveUnaccounted() {
        if (!isTerminal) {
            pending.or(unaccounted);
        }
        unaccounted.clear();
    }

    /** Whether a gang has lost a member while others still have their places: it restarts whole. */
    public boolean isBrokenGang() {
        return spec().gang() && !pending.isEmpty() && !allocations.isEmpty();
    }

    /** How many tasks are or may be running anywhere. */
    public int possiblyRunning() {
        return allocations.size() + unaccounted.cardinality();
    }

    /** The CPU time that its waiting tasks will take, as far as its owner guesses. */
    public double pendingWork() {
        return pending.cardinality() * spec().demand().cpus() * spec().estimateS();
    }

    // ---- zones

    /** Whether one more task may start in the zone, given where the others are or may be. */
    public boolean zoneAllowed(String zone) {
        if (spec().spread()
                && tasksPerZone.getOrDefault(zone, 0) + unaccounted.cardinality() >= spec().tasksPerZone()) {
            return false;
        }
        if (!spec().singleZone() || possiblyRunning() == 0) {
            return true;
        }
        // An unaccounted task may be in any zone: until it is found, nothing else of the job starts.
        return unaccounted.isEmpty() && tasksPerZone.getOrDefault(zone, 0) == allocations.size();
    }

    public int tasksInZone(String zone) {
        return tasksPerZone.getOrDefault(zone, 0);
    }

    // ---- end and failures

    public boolean isTerminal() {
        return isTerminal;
    }

    void terminate() {
        isTerminal = true;
        pending.clear();
        unaccounted.clear();
    }

    /** Notes a failed attempt: the next one waits, longer each time, and avoids the machine. */
    public void recordFailure(String machine, long now, long firstPauseMs) {
        excludedMachines.add(machine);
        failures++;
        retryAt = now + (firstPauseMs << Math.min(failures - 1, 6));
    }

    public void delayRetry(long until) {
        retryAt = Math.max(retryAt, until);
    }

    public int failures() {
        return failures;
    }

    public long retryAt() {
        return retryAt;
    }

    public boolean excludes(String machine) {
        return excludedMachines.contains(machine);
    }

    /** Forgets which machines failed it, when there is no other left to try. */
    public void clearExcludedMachines() {
        excludedMachines.clear();
    }
}
