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

/** Deletes drained machines at the cloud, once no task runs on them. */
final class ScaleInRequests {
    private static final int RETRY_MS = 2_000;

    private final EventLoop eventLoop;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final Consumer<Machine> onRemoved;
    private final Set<String> deleting = new HashSet<>();

    /** @param onRemoved is notified when a machine certainly no longer exists */
    ScaleInRequests(FleetContext context, Consumer<Machine> removed) {
        this.eventLoop = context.eventLoop();
        this.cloud = context.cloud();
        this.term = context.term();
        this.cluster = context.cluster();
        this.onRemoved = removed;
    }

    /** Deletes the machines that are fenced and may be deleted now, as far as the cloud's request limit allows. */
    void deleteFenced() {
        if (cloud.isIdle()) {
            delete(machine -> machine.isFencingDue(eventLoop.nowMs()));
        }
    }

    /** Deletes drained machines; returns whether some have to wait for the cloud's request limit. */
    boolean deleteDrained() {
        if (!cloud.isIdle()) {
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
            // A successor may have started tasks there by the time a paused process goes on.
            cloud.delete(ids, term.confirmedUntilMs(), success -> onDeleted(ids, success));
        }
    }

    // No task may run on a machine that is deleted, unless the machine is being fenced and its time is over.
    private boolean isDeletable(Machine machine) {
        return (machine.empty() && !machine.isUnverified())
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
