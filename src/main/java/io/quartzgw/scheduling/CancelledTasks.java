package io.quartzgw.scheduling;

import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Tells whether a direct call that arrives late may start a task of a cancelled job on a machine. */
public final class CancelledTasks {
    private CancelledTasks() {}

    /** When the first of the jobs was cancelled whose tasks a late start may run on a machine, if there is any. */
    public static OptionalLong firstCancellationMs(Machine machine) {
        return firstCancellationMs(machine, Allocation::isLost);
    }

    /**
     * As {@link #firstCancellationMs}, where a call without an answer may have carried each start that was not seen.
     */
    public static OptionalLong firstPossibleCancellationMs(Machine machine) {
        return machine.liveness().unreachable()
                ? firstCancellationMs(machine, allocation -> allocation.startSent() && !allocation.observed())
                : firstCancellationMs(machine);
    }

    private static OptionalLong firstCancellationMs(Machine machine, Predicate<Allocation> mayBeStartedLate) {
        MachineFencing fencing = machine.fencing();
        if (machine.empty() && !fencing.hasUnfenced()) {
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
