package io.quartzgw.scheduling;

import io.quartzgw.model.Attempt;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The unfenced attempts of one machine, and whether the machine is being fenced, which means that it will be deleted.
 *
 * <p>An attempt is unfenced if it has ended while a direct call that may still start it is unanswered. The agent that
 * ran the attempt ignores a late start of it, but an agent that replaces it on the same machine does not. So the task
 * is not started elsewhere until the call is answered or the machine no longer exists.
 *
 * <p>Only attempts whose allocation was retained as unfenced are included. A lost attempt that keeps its allocation on
 * the machine is not, although the metrics count it as unfenced. Fencing a machine is unrelated to fencing tokens, by
 * which agents reject calls.
 */
public final class MachineFencing {
    private static final long NOT_FENCED = Long.MAX_VALUE;

    /** Allocations of unfenced attempts by task name, in the order in which the attempts ended. */
    private final Map<String, Allocation> unfenced = new LinkedHashMap<>();

    /**
     * Starts of cancelled jobs that a direct call may still carry and that have no allocation, with the time when the
     * job was cancelled.
     */
    private final Map<Attempt, Long> cancelledStarts = new HashMap<>();

    private long deletionDeadlineMs = NOT_FENCED;
    private boolean unknownStarts;

    void add(Allocation allocation) {
        unfenced.put(allocation.task(), allocation);
    }

    boolean remove(Allocation allocation) {
        return unfenced.remove(allocation.task(), allocation);
    }

    /** A copy of the allocations of unfenced attempts. They reserve no capacity of the machine. */
    public Collection<Allocation> unfenced() {
        return List.copyOf(unfenced.values());
    }

    /** The allocation of the given attempt of a task, if that attempt is unfenced. */
    public Optional<Allocation> find(String task, long attempt) {
        return Optional.ofNullable(unfenced.get(task)).filter(allocation -> allocation.attempt() == attempt);
    }

    /** Whether an attempt is unfenced. */
    public boolean isUnfenced(Allocation allocation) {
        return unfenced.get(allocation.task()) == allocation;
    }

    /** Whether any attempt is unfenced. */
    public boolean hasUnfenced() {
        return !unfenced.isEmpty();
    }

    /**
     * Adds a start of a cancelled job that a direct call may still carry to the machine and that has no allocation.
     *
     * @param cancelledAtMs when the job was cancelled
     */
    public void addCancelledStart(Attempt start, long cancelledAtMs) {
        cancelledStarts.put(start, cancelledAtMs);
    }

    /** Whether a start was added with {@link #addCancelledStart}. */
    public boolean isCancelledStart(Attempt start) {
        return cancelledStarts.containsKey(start);
    }

    /** The number of starts that were added with {@link #addCancelledStart}. */
    public int cancelledStartCount() {
        return cancelledStarts.size();
    }

    /** The earliest cancellation time of a job whose start was added with {@link #addCancelledStart}. */
    OptionalLong firstCancellationMs() {
        return cancelledStarts.values().stream().mapToLong(Long::longValue).min();
    }

    /**
     * Records that direct calls of previous leaders may carry starts that this leader does not track to the machine.
     */
    public void markUnknownStartsPossible() {
        unknownStarts = true;
    }

    /** Whether direct calls of previous leaders may carry starts that this leader does not track to the machine. */
    public boolean mayReceiveUnknownStarts() {
        return unknownStarts;
    }

    /**
     * Begins to fence the machine, or moves the deadline forward if the new one is earlier.
     *
     * @param deadlineMs when the machine is deleted, even if tasks still run there
     */
    void begin(long deadlineMs) {
        this.deletionDeadlineMs = Math.min(this.deletionDeadlineMs, deadlineMs);
    }

    /** Whether the machine is being fenced. */
    public boolean isInProgress() {
        return deletionDeadlineMs != NOT_FENCED;
    }

    /**
     * When the machine is deleted even if tasks still run there, or {@code Long.MAX_VALUE} if it is not being fenced.
     */
    public long deletionDeadlineMs() {
        return deletionDeadlineMs;
    }
}
