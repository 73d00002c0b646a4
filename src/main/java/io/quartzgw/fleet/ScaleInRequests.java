package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Has machines deleted that are to be returned, once they are drained. */
final class ScaleInRequests {
    private static final int RETRY_MS = 2_000;

    private final EventLoop kernel;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final Consumer<Machine> removed;
    private final Set<String> deleting = new HashSet<>();

    /** @param removed told when a machine is surely gone */
    ScaleInRequests(
            EventLoop kernel, CloudClient cloud, LeaderTerm term, ClusterState cluster, Consumer<Machine> removed) {
        this.kernel = kernel;
        this.cloud = cloud;
        this.term = term;
        this.cluster = cluster;
        this.removed = removed;
    }

    /** Deletes marked machines that are drained; returns whether some have to wait for their turn at the cloud. */
    boolean deleteDrained() {
        if (!cloud.isIdle()) {
            return cluster.machines().stream().anyMatch(machine -> machine.status() == Machine.Status.DRAINING);
        }
        List<String> ids = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            // Drained first: nothing may be on it when it is returned, unless its hold is over.
            if (machine.status() == Machine.Status.DRAINING
                    && (machine.empty() || machine.removeAllocation())
                    && ids.size() < CloudClient.MAX_DELETE
                    && deleting.add(machine.id())) {
                ids.add(machine.id());
            }
        }
        if (!ids.isEmpty()) {
            cloud.delete(ids, deleted -> deleted(ids, deleted));
        }
        return false;
    }

    private void deleted(List<String> ids, boolean done) {
        deleting.removeAll(ids);
        if (!term.isCurrent()) {
            return;
        }
        if (!done) {
            kernel.after(RETRY_MS, cluster::markChanged);
            return;
        }
        ids.stream().map(cluster::machine).filter(machine -> machine != null).forEach(removed);
    }
}
