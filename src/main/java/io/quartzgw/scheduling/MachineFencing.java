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
 * The unfenced attempts of one machine, and whether it is being fenced, which means that it will be deleted.
 *
 * <p>An attempt is unfenced if it has ended while a direct call that may still start it has no answer. The agent that
 * has seen it end ignores such a start; an agent that replaces it, on the same machine, does not. So the task is
 * started nowhere else before the call is answered or the machine no longer exists.
 */
public final class MachineFencing {
    private static final long NOT_FENCED = Long.MAX_VALUE;

    /** By task, in the order in which the attempts ended. */
    private final Map<String, Allocation> unfenced = new LinkedHashMap<>();

    /** By start of a cancelled job that a direct call may carry, and that has no allocation: when it was cancelled. */
    private final Map<Attempt, Long> cancelledStarts = new HashMap<>();

    private long deadline = NOT_FENCED;
    private boolean unknownStarts;

    void add(Allocation allocation) {
        unfenced.put(allocation.task(), allocation);
    }

    boolean remove(Allocation allocation) {
        return unfenced.remove(allocation.task(), allocation);
    }

    /** The allocations of unfenced attempts, a copy; they take no capacity of the machine. */
    public Collection<Allocation> unfenced() {
        return List.copyOf(unfenced.values());
    }

    /** The allocation of a task's unfenced attempt, if that attempt is unfenced. */
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
     * Adds the start of a cancelled job that a direct call may still carry to the machine, and that has no allocation.
     *
     * @param cancelledAtMs when the job was cancelled
     */
    public void addCancelledStart(Attempt start, long cancelledAtMs) {
        cancelledStarts.put(start, cancelledAtMs);
    }

    /** Whether a start was added as one of a cancelled job. */
    public boolean isCancelledStart(Attempt start) {
        return cancelledStarts.containsKey(start);
    }

    /** How many starts of cancelled jobs, of which no attempt is unfenced, direct calls may carry. */
    public int cancelledStarts() {
        return cancelledStarts.size();
    }

    /** When the first of the jobs was cancelled whose starts without an allocation direct calls may carry. */
    OptionalLong firstCancellationMs() {
        return cancelledStarts.values().stream().mapToLong(Long::longValue).min();
    }

    /** Records that calls of former leaders may carry starts to the machine which this leader can't know. */
    public void expectUnknownStarts() {
        unknownStarts = true;
    }

    /** Whether calls of former leaders may carry any start to the machine. */
    public boolean hasUnknownStarts() {
        return unknownStarts;
    }

    /**
     * Begins to fence the machine.
     *
     * @param deadline when the machine is deleted, whatever runs there
     */
    void begin(long deadline) {
        this.deadline = Math.min(this.deadline, deadline);
    }

    /** Whether the machine is being fenced. */
    public boolean isBegun() {
        return deadline != NOT_FENCED;
    }

    /** When the machine is deleted, whatever runs there, or {@code Long.MAX_VALUE} if it is not being fenced. */
    public long deadline() {
        return deadline;
    }
}
