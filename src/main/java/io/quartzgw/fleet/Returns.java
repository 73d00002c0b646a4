package io.quartzgw.fleet;

import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Has machines deleted that are to be returned, once they are drained. */
final class Returns {
    private static final int RETRY_MS = 2_000;

    private final Kernel kernel;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final Consumer<Machine> removed;
    private final Set<String> deleting = new HashSet<>();

    /** @param removed told when a machine is surely gone */
    Returns(Kernel kernel, CloudClient cloud, LeaderTerm term, Cluster cluster, Consumer<Machine> removed) {
        this.kernel = kernel;
        this.cloud = cloud;
        this.term = term;
        this.cluster = cluster;
        this.removed = removed;
    }

    /** Deletes marked machines that are drained; returns whether some have to wait for their turn at the cloud. */
    boolean deleteLeaving() {
        if (!cloud.idle()) {
            return cluster.machines().stream().anyMatch(machine -> machine.status() == Machine.Status.LEAVING);
        }
        List<String> ids = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            // Drained first: nothing may be on it when it is returned, unless its hold is over.
            if (machine.status() == Machine.Status.LEAVING
                    && (machine.empty() || machine.released())
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
        if (!term.current()) {
            return;
        }
        if (!done) {
            kernel.after(RETRY_MS, cluster::touch);
            return;
        }
        ids.stream().map(cluster::machine).filter(machine -> machine != null).forEach(removed);
    }
}
