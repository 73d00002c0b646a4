package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Requests the deletion of drained machines from the cloud, once no task runs on them. */
final class ScaleInRequests {
    private static final int RETRY_MS = 2_000;

    private final EventLoop eventLoop;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final Consumer<Machine> onRemoved;
    private final Set<String> deleting = new HashSet<>();

    /** @param onRemoved is notified when a machine certainly no longer exists */
    ScaleInRequests(FleetContext context, Consumer<Machine> onRemoved) {
        this.eventLoop = context.eventLoop();
        this.cloud = context.cloud();
        this.term = context.term();
        this.cluster = context.cluster();
        this.onRemoved = onRemoved;
    }

    /** Deletes fenced machines that may be deleted now, if the cloud's request limit allows a call. */
    void deleteFenced() {
        if (cloud.canSendNow()) {
            delete(machine -> machine.isFencingDue(eventLoop.nowMs()));
        }
    }

    /** Deletes drained machines, and returns whether some have to wait because of the cloud's request limit. */
    boolean deleteDrained() {
        if (!cloud.canSendNow()) {
            return cluster.machines().stream().anyMatch(machine -> machine.status() == Machine.Status.DRAINING);
        }
        delete(machine -> machine.status() == Machine.Status.DRAINING && isDeletable(machine));
        return false;
    }

    private void delete(Predicate<Machine> due) {
        List<String> ids = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (due.test(machine) && ids.size() < CloudClient.MAX_MACHINES_PER_DELETION && deleting.add(machine.id())) {
                ids.add(machine.id());
            }
        }
        if (!ids.isEmpty()) {
            // The request expires with the confirmed term: if this controller is paused, a new leader may have started
            // tasks on the machines by the time it resumes.
            cloud.delete(ids, term.confirmedUntilMs(), success -> onDeleted(ids, success));
        }
    }

    // A machine on which a task may run is not deleted, unless it is being fenced and its evacuation has timed out.
    private boolean isDeletable(Machine machine) {
        return (machine.hasNoAllocations() && !machine.isUnverified())
                || machine.reservationExpired()
                || machine.isFencingDue(eventLoop.nowMs());
    }

    private void onDeleted(List<String> ids, boolean success) {
        deleting.removeAll(ids);
        if (!term.isCurrent()) {
            return;
        }
        if (!success) {
            eventLoop.after(RETRY_MS, cluster::markChanged);
            return;
        }
        ids.stream().map(cluster::findMachine).flatMap(Optional::stream).forEach(onRemoved);
    }
}
