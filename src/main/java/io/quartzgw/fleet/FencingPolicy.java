package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.LateStartsOfCancelledTasks;
import io.quartzgw.scheduling.Machine;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines are fenced. Fencing a machine means deleting it, so that an outstanding start is no longer
 * executable there and its task need not wait any longer.
 *
 * <p>A machine that is not in use is fenced at once. A machine in use is evacuated first, for a limited time. The
 * number of machines evacuated at a time is also limited, so that neither a partition nor a burst of lost direct calls
 * causes most of the fleet to be deleted.
 *
 * <p>For machines that may start a task of a cancelled job, that limit applies only during the first half of the cancel
 * limit, which is the time limit for stopping all tasks of a cancelled job, so that all of them are deleted in time. If
 * the leader may soon be unable to delete machines, they are deleted at once, even if they are in use.
 *
 * <p>Several durations are fractions of a reservation, which is the time for which the capacity of an unresponsive
 * machine stays reserved.
 */
final class FencingPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(FencingPolicy.class);
    /** A direct call ends within this fraction of a reservation; until then its response may still arrive. */
    private static final double RESPONSE_WAIT_RESERVATIONS = 0.2;
    /** An unreachable agent with lost attempts has this fraction of a reservation to respond to a direct call. */
    private static final double UNREACHABLE_GRACE_RESERVATIONS = 0.4;
    /** How long a reachable agent has to run a lost attempt again, in reservations. */
    private static final double LOST_ATTEMPT_GRACE_RESERVATIONS = 1;
    /** How long a machine in use is evacuated before it is deleted, in reservations. */
    private static final double EVACUATION_RESERVATIONS = 1.5;
    /** Fraction of the cancel limit after which the limit of machines being evacuated is ignored. */
    private static final double UNLIMITED_EVACUATION_CANCEL_FRACTION = 0.5;
    /** Fraction of the cancel limit after which a machine is deleted; the rest is for the cloud's response. */
    private static final double DELETION_CANCEL_FRACTION = 0.8;
    /** The maximum fraction of the machines that is evacuated for fencing at a time. */
    private static final double MAX_EVACUATED_FRACTION = 0.05;
    /** In small fleets, at least this many machines may be evacuated at a time. */
    private static final int MIN_EVACUATION_LIMIT = 2;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final long responseWaitMs;
    private final long unreachableGraceMs;
    private final long evacuationMs;
    private final long lostAttemptGraceMs;
    private final long ignoreEvacuationLimitMs;
    private final long cancelDeletionMs;

    FencingPolicy(EventLoop eventLoop, ClusterState cluster, FleetManager.Policy policy) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.responseWaitMs = (long) (RESPONSE_WAIT_RESERVATIONS * policy.reservationMs());
        this.unreachableGraceMs = (long) (UNREACHABLE_GRACE_RESERVATIONS * policy.reservationMs());
        this.evacuationMs = (long) (EVACUATION_RESERVATIONS * policy.reservationMs());
        this.lostAttemptGraceMs = (long) (LOST_ATTEMPT_GRACE_RESERVATIONS * policy.reservationMs());
        this.ignoreEvacuationLimitMs = (long) (UNLIMITED_EVACUATION_CANCEL_FRACTION * policy.cancelMs());
        this.cancelDeletionMs = (long) (DELETION_CANCEL_FRACTION * policy.cancelMs());
    }

    /**
     * Begins to fence all machines that need it. Called only while the cloud responds, since otherwise it could not
     * delete them.
     *
     * @param confirmationEnding whether this leader may soon be unable to delete machines, for an unknown time
     */
    void fenceMachines(boolean confirmationEnding) {
        List<Machine> needed = cluster.machines().stream()
                .filter(machine -> !machine.fencing().isInProgress() && isFencingNeeded(machine))
                .toList();
        if (!needed.isEmpty()) {
            needed.stream().filter(machine -> !machine.isInUse()).forEach(this::fence);
            fenceWithinEvacuationLimit(needed.stream().filter(Machine::isInUse).toList());
        }
        cluster.machines()
                .forEach(
                        confirmationEnding
                                ? this::fenceIfCancelledTaskMayStart
                                : this::fenceBeforeCancellationDeadline);
    }

    private boolean isFencingNeeded(Machine machine) {
        return hasOverdueUnfencedAttempt(machine)
                || hasUnreachableLostAttempt(machine)
                || hasOverdueLostAttempt(machine)
                || machine.fencing().cancelledStartCount() > 0
                || machine.fencing().mayReceiveUnknownStarts();
    }

    private boolean hasOverdueUnfencedAttempt(Machine machine) {
        return machine.fencing().hasUnfenced()
                && machine.fencing().unfenced().stream()
                        .anyMatch(allocation -> allocation.isLostFor(responseWaitMs, eventLoop.nowMs()));
    }

    // Considers unreachable agents only, because the starts of lost attempts are sent again to a reachable agent. Once
    // the reservation has expired, there is no grace time.
    private boolean hasUnreachableLostAttempt(Machine machine) {
        if (!machine.reservationExpired() && !machine.liveness().unreachable()) {
            return false;
        }
        long waitMs = machine.reservationExpired() ? 0 : unreachableGraceMs;
        return machine.allocations().stream().anyMatch(allocation -> allocation.isLostFor(waitMs, eventLoop.nowMs()));
    }

    // Applies to reachable agents too. Their starts are not sent again while the machine lacks free capacity or
    // while the inherited starts of a team together exceed its quota. Without this limit, such starts could block
    // each other.
    private boolean hasOverdueLostAttempt(Machine machine) {
        return machine.allocations().stream()
                .anyMatch(allocation -> allocation.isLostFor(lostAttemptGraceMs, eventLoop.nowMs()));
    }

    // An acknowledged cancellation guarantees that none of the job's tasks runs after the cancel limit. The limit of
    // machines being evacuated must not delay the deletion beyond that.
    private void fenceBeforeCancellationDeadline(Machine machine) {
        OptionalLong cancelledAtMs = LateStartsOfCancelledTasks.firstCancellationMs(machine);
        if (cancelledAtMs.isEmpty() || eventLoop.nowMs() < cancelledAtMs.getAsLong() + ignoreEvacuationLimitMs) {
            return;
        }
        long deadlineMs = cancelledAtMs.getAsLong() + cancelDeletionMs;
        if (deadlineMs < machine.fencing().deletionDeadlineMs()) {
            // Counts machines that are fenced regardless of the limit of machines being evacuated.
            eventLoop.increment("fencing.out_of_turn", 1);
            fence(machine, deadlineMs);
        }
    }

    // Called while the leader's lease is not being renewed. The state service may recover only after the cancel
    // limit, and an unconfirmed leader can't delete machines. So the machine is deleted at once.
    private void fenceIfCancelledTaskMayStart(Machine machine) {
        if (LateStartsOfCancelledTasks.firstPossibleCancellationMs(machine).isPresent()) {
            fence(machine, eventLoop.nowMs());
        }
    }

    // Machines with an unfenced attempt of an open job come first: nothing waits for the tasks of a cancelled job.
    private void fenceWithinEvacuationLimit(List<Machine> machines) {
        long allowed = Math.max(MIN_EVACUATION_LIMIT, (long)
                        (MAX_EVACUATED_FRACTION * cluster.machines().size()))
                - evacuatingMachines();
        machines.stream()
                .sorted(Comparator.comparing(machine -> !blocksOpenJob(machine)))
                .limit(Math.max(0, allowed))
                .forEach(this::fence);
    }

    private long evacuatingMachines() {
        return cluster.machines().stream()
                .filter(machine -> machine.fencing().isInProgress() && machine.isInUse())
                .count();
    }

    private static boolean blocksOpenJob(Machine machine) {
        return machine.fencing().unfenced().stream().map(Allocation::job).anyMatch(job -> !job.isTerminal());
    }

    private void fence(Machine machine) {
        fence(machine, eventLoop.nowMs() + evacuationMs);
    }

    private void fence(Machine machine, long deadlineMs) {
        if (!machine.fencing().isInProgress()) {
            logFencing(machine, deadlineMs);
        }
        machine.fence(deadlineMs);
    }

    // The machine is drained and then deleted; evacuation_ms is the time until the deletion deadline.
    private void logFencing(Machine machine, long deadlineMs) {
        eventLoop.increment("fencing.machines", 1);
        LOG.atInfo()
                .addKeyValue("machine", machine.id())
                .addKeyValue("reason", "fenced")
                .addKeyValue("unfenced_attempts", machine.fencing().unfenced().size())
                .addKeyValue("holds_back_open_job", blocksOpenJob(machine))
                .addKeyValue("cancelled_starts", machine.fencing().cancelledStartCount())
                .addKeyValue("in_use", machine.isInUse())
                .addKeyValue("evacuation_ms", Math.max(0, deadlineMs - eventLoop.nowMs()))
                .log("machine drained");
    }
}
