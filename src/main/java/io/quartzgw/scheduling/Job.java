package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's state of a job. While the job is open, each task is in exactly one state: completed, allocated to a
 * machine, unaccounted (it may run on a machine that has been unresponsive since the failover), or pending. All times
 * are in milliseconds of this controller's steady clock.
 */
public final class Job {
    private final OpenJob open;
    private final long submittedAt;
    private final BitSet completedTasks = new BitSet();
    private final BitSet recordedCompleted = new BitSet();
    private final BitSet pending = new BitSet();
    private final BitSet unaccounted = new BitSet();
    private final Map<Integer, Allocation> allocations = new HashMap<>();
    private final Map<String, Integer> tasksPerZone = new HashMap<>();
    private final FailureHistory failureHistory = new FailureHistory();
    private int recordedStartLimit;
    private boolean isTerminal;
    private long terminatedAt;

    /** @param submittedAt when the job was accepted */
    Job(OpenJob open, long submittedAt) {
        this.open = open;
        this.submittedAt = submittedAt;
        pending.set(0, open.spec().tasks());
    }

    /** The specification that was submitted. */
    public JobSpec spec() {
        return open.spec();
    }

    /** The job's record in the state service. */
    public OpenJob open() {
        return open;
    }

    /** The job ID. */
    public String id() {
        return open.spec().id();
    }

    /** The name of a task, unique across jobs. */
    public String task(int index) {
        return id() + "/" + index;
    }

    /** When the job was accepted. */
    public long submittedAt() {
        return submittedAt;
    }

    /** When the job should be completed, or {@code Long.MAX_VALUE} if it has no deadline. */
    public long dueAt() {
        Double deadline = spec().deadlineS();
        return deadline == null ? Long.MAX_VALUE : submittedAt + (long) (deadline * 1000);
    }

    // ---- tasks

    /** Whether the task has completed. */
    public boolean isCompleted(int index) {
        return completedTasks.get(index);
    }

    /** The indexes of completed tasks; not to be modified. */
    public BitSet completedTasks() {
        return completedTasks;
    }

    /** The number of completed tasks. */
    public int completedCount() {
        return completedTasks.cardinality();
    }

    /** Whether all tasks have completed; always false for a service. */
    public boolean isComplete() {
        return !spec().service() && completedTasks.cardinality() == spec().tasks();
    }

    /** The allocation of a task, or null if it has none. */
    public Allocation allocation(int index) {
        return allocations.get(index);
    }

    /** A live view of the allocations. */
    public Collection<Allocation> allocations() {
        return allocations.values();
    }

    /** A copy of the allocations, for callers that release some. */
    public List<Allocation> allocationsSnapshot() {
        return new ArrayList<>(allocations.values());
    }

    /** The number of tasks whose last reported phase is running. */
    public int runningCount() {
        return (int) allocations.values().stream()
                .filter(allocation -> allocation.phase() == Allocation.Phase.RUNNING)
                .count();
    }

    /** The indexes of pending tasks; not to be modified. */
    public BitSet pending() {
        return pending;
    }

    /** The lowest index of a pending task, or -1. */
    public int nextPending() {
        return pending.nextSetBit(0);
    }

    /** The indexes of unaccounted tasks; not to be modified. */
    public BitSet unaccounted() {
        return unaccounted;
    }

    void addAllocation(Allocation allocation) {
        pending.clear(allocation.index());
        unaccounted.clear(allocation.index());
        allocations.put(allocation.index(), allocation);
        failureHistory.recordStart(allocation.allocatedAt());
        tasksPerZone.merge(allocation.machine().zone(), 1, Integer::sum);
    }

    void removeAllocation(Allocation allocation) {
        allocations.remove(allocation.index());
        tasksPerZone.merge(allocation.machine().zone(), -1, Integer::sum);
        if (!isTerminal && !completedTasks.get(allocation.index())) {
            pending.set(allocation.index());
        }
    }

    /** Whether the state service records the task as completed. */
    public boolean recordedCompleted(int index) {
        return recordedCompleted.get(index);
    }

    /** The indexes of tasks that the state service records as completed; not to be modified. */
    public BitSet recordedCompleted() {
        return recordedCompleted;
    }

    void markCompleted(int index) {
        completedTasks.set(index);
        failureHistory.recordSuccess();
        pending.clear(index);
        unaccounted.clear(index);
    }

    /** The index from which on no leader has started a task, according to the state service. */
    public int recordedStartLimit() {
        return recordedStartLimit;
    }

    /** Raises the recorded start limit; a lower value is ignored. */
    public void recordedStartLimit(int startLimit) {
        recordedStartLimit = Math.max(recordedStartLimit, startLimit);
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

    /** Whether a gang has lost a member while others are still allocated. Such a gang restarts as a whole. */
    public boolean isBrokenGang() {
        return spec().gang() && !pending.isEmpty() && !allocations.isEmpty();
    }

    /** The number of tasks that run or may run: allocated or unaccounted. */
    public int possiblyRunningCount() {
        return allocations.size() + unaccounted.cardinality();
    }

    /** The CPU seconds that the pending tasks will use, by the job owner's runtime estimate. */
    public double pendingCpuSeconds() {
        return pending.cardinality() * spec().demand().cpus() * spec().estimateS();
    }

    // ---- zones

    /**
     * Whether the zone constraints allow one more task in the zone, given the zones where the others run or may run.
     */
    public boolean zoneAllowed(String zone) {
        if (spec().spread()
                && tasksPerZone.getOrDefault(zone, 0) + unaccounted.cardinality() >= spec().tasksPerZone()) {
            return false;
        }
        if (!spec().singleZone() || possiblyRunningCount() == 0) {
            return true;
        }
        // An unaccounted task may be in any zone: no other task of the job starts until its state is known.
        return unaccounted.isEmpty() && tasksPerZone.getOrDefault(zone, 0) == allocations.size();
    }

    /** Whether the allocated tasks satisfy the zone constraints. At least one of them must be in the zone. */
    public boolean zonesAllowed(String zone) {
        int tasks = tasksInZone(zone);
        return (!spec().spread() || tasks <= spec().tasksPerZone())
                && (!spec().singleZone() || tasks == allocations.size());
    }

    /** The number of allocated tasks in the zone. */
    public int tasksInZone(String zone) {
        return tasksPerZone.getOrDefault(zone, 0);
    }

    // ---- termination and failures

    /** Whether the job is cancelled or completed. */
    public boolean isTerminal() {
        return isTerminal;
    }

    /** When the job was cancelled or completed, as recorded by this leader; meaningful only once it is terminal. */
    long terminatedAt() {
        return terminatedAt;
    }

    void terminate(long endedAtMs) {
        if (!isTerminal) {
            terminatedAt = endedAtMs;
        }
        isTerminal = true;
        pending.clear();
        unaccounted.clear();
    }

    /** Records a failed attempt: the job backs off exponentially and is not scheduled on the machine for a while. */
    public void recordFailure(String machine, long now, RetryTiming timing) {
        failureHistory.recordFailure(machine, now, timing);
    }

    /** Delays the next attempt until the given time or later. */
    public void delayRetry(long until) {
        failureHistory.delayRetry(until);
    }

    /** The failed attempts since a task has last completed, or 0 if the last failure is long ago. */
    public int failures(long now) {
        return failureHistory.failures(now);
    }

    /**
     * Whether so many attempts in a row have failed that the job itself is likely to be at fault. It then causes no
     * scale-out and may run where it has failed, but starts one task first.
     */
    public boolean hasFailedRepeatedly(long now) {
        return failureHistory.hasFailedRepeatedly(now);
    }

    /** Whether one more task may be started: after several failures, one task is tried first. */
    public boolean failuresAllowStart(long now) {
        return failureHistory.allowsStart(now);
    }

    /** The earliest time at which a task of the job may be started again. */
    public long retryAt() {
        return failureHistory.retryAt();
    }

    /** Whether the job is not scheduled on the machine now because it failed there. */
    public boolean excludes(String machine, long now) {
        return failureHistory.excludes(machine, now);
    }

    /** Whether the job has failed on any other machine than this one. */
    boolean hasFailedOutside(String machine) {
        return failureHistory.hasFailedOutside(machine);
    }

    /** Allows all machines again, for a job that has failed on every schedulable machine. */
    public void clearExcludedMachines() {
        failureHistory.clearExcludedMachines();
    }
}
