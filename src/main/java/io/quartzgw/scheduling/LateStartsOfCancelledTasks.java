package io.quartzgw.scheduling;

import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Determines whether a delayed direct call may start a task of a cancelled job on a machine. */
public final class LateStartsOfCancelledTasks {
    private LateStartsOfCancelledTasks() {}

    /** Returns the earliest cancellation time of the jobs whose tasks a late start command may run on a machine. */
    public static OptionalLong firstCancellationMs(Machine machine) {
        return firstCancellationMs(machine, Allocation::isLost);
    }

    /**
     * As {@link #firstCancellationMs}. If the agent is unreachable, includes all starts that were sent and that no
     * heartbeat has reported, since each of them may be in an unanswered call.
     */
    public static OptionalLong firstPossibleCancellationMs(Machine machine) {
        return machine.liveness().unreachable()
                ? firstCancellationMs(machine, allocation -> allocation.startSent() && !allocation.observed())
                : firstCancellationMs(machine);
    }

    private static OptionalLong firstCancellationMs(Machine machine, Predicate<Allocation> mayBeStartedLate) {
        MachineFencing fencing = machine.fencing();
        if (machine.hasNoAllocations() && !fencing.hasUnfenced()) {
            return fencing.firstCancellationMs();
        }
        Stream<Allocation> startedLate = machine.allocations().stream().filter(mayBeStartedLate);
        LongStream withAllocation = Stream.concat(startedLate, fencing.unfenced().stream())
                .filter(Allocation::isOfCancelledTask)
                .mapToLong(allocation -> allocation.job().terminatedAt());
        LongStream withoutAllocation = fencing.firstCancellationMs().stream();
        return LongStream.concat(withAllocation, withoutAllocation).min();
    }
}
