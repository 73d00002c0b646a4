package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Endpoint;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the cloud's machine list periodically and reconciles the cluster state with it. */
final class InventoryReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(InventoryReconciler.class);
    /** A machine list may be outdated by up to twice its lag; this adds a margin. */
    private static final double MAX_LIST_AGE_LAGS = 2.2;

    private static final double LIST_INTERVAL_LAGS = 0.5;
    private static final int MIN_LIST_INTERVAL_MS = 2_000;

    private final EventLoop eventLoop;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final MachineTypes types;
    private final FleetManager.Policy policy;
    private final FleetManager.Listener listener;
    /** When the last list with a machine was requested, by machine ID. */
    private final Map<String, Long> lastListedAt = new HashMap<>();

    private boolean inventoryKnown;
    private boolean cloudResponds;

    InventoryReconciler(FleetContext context, MachineTypes types, FleetManager.Listener listener) {
        this.eventLoop = context.eventLoop();
        this.cloud = context.cloud();
        this.term = context.term();
        this.cluster = context.cluster();
        this.policy = context.policy();
        this.types = types;
        this.listener = listener;
    }

    /** Starts to read the list periodically. */
    void start() {
        readList();
    }

    /** Whether the list was read at least once. */
    boolean isInventoryKnown() {
        return inventoryKnown;
    }

    /** Whether the last attempt to read the list has succeeded. */
    boolean isCloudResponding() {
        return cloudResponds;
    }

    /** Drops the time at which a machine was last listed. */
    void stopTracking(Machine machine) {
        lastListedAt.remove(machine.id());
    }

    private void readList() {
        if (!term.isCurrent()) {
            return;
        }
        long requestedAt = eventLoop.nowMs();
        cloud.list(machines -> onList(machines, requestedAt));
    }

    private void onList(Optional<List<CloudClient.ListedMachine>> list, long requestedAt) {
        if (!term.isCurrent()) {
            return;
        }
        cloudResponds = list.isPresent();
        list.ifPresent(machines -> reconcileAll(machines, requestedAt));
        eventLoop.after(
                Math.max(MIN_LIST_INTERVAL_MS, (long) (LIST_INTERVAL_LAGS * policy.listLagMs())), this::readList);
    }

    private void reconcileAll(List<CloudClient.ListedMachine> machines, long requestedAt) {
        inventoryKnown = true;
        machines.forEach(machine -> reconcile(machine, requestedAt));
        removeAbsent(machines, requestedAt);
        cluster.markChanged();
    }

    private void reconcile(CloudClient.ListedMachine entry, long requestedAt) {
        if (cluster.wasRemoved(entry.id())) {
            return;
        }
        lastListedAt.put(entry.id(), requestedAt);
        cluster.findMachine(entry.id()).or(() -> adoptUnknown(entry)).ifPresent(machine -> update(machine, entry));
    }

    private void update(Machine machine, CloudClient.ListedMachine entry) {
        if (machine.address() == null) {
            machine.address(Endpoint.parse(entry.address()));
        }
        if (entry.failed() && !policy.hasRecentHeartbeat(machine, eventLoop.nowMs())) {
            // The machine has stopped on its own, and its tasks with it.
            LOG.atInfo().addKeyValue("machine", entry.id()).log("machine failed");
            listener.machineFailed(machine);
            machine.expireReservation();
            machine.drain();
        }
    }

    // A previous leader may have rented the machine, or a rental request of this leader is still without a result. It
    // is used like any other machine, and drained when idle.
    private Optional<Machine> adoptUnknown(CloudClient.ListedMachine entry) {
        Optional<Machine> adopted = types.find(entry.type()).map(type -> newMachine(entry, type));
        adopted.ifPresent(cluster::add);
        return adopted;
    }

    private Machine newMachine(CloudClient.ListedMachine entry, MachineType type) {
        long rentedAt = eventLoop.nowMs() - (long) (entry.ageS() * 1000);
        return new Machine(entry.id(), type, entry.zone(), entry.spot(), rentedAt, eventLoop.nowMs());
    }

    // Once listed, a machine stays listed until it is deleted. But a list may be older than the list read before it, so
    // a machine no longer exists only if it is absent from a list that can't be older than the last list with it.
    private void removeAbsent(List<CloudClient.ListedMachine> machines, long requestedAt) {
        Set<String> present = new HashSet<>();
        machines.forEach(machine -> present.add(machine.id()));
        long maxListAgeMs = (long) (MAX_LIST_AGE_LAGS * policy.listLagMs());
        for (Machine machine : List.copyOf(cluster.machines())) {
            // A previous leader's machine has the rental time of its record.
            long lastKnownAt = Math.max(machine.rentedAt(), lastListedAt.getOrDefault(machine.id(), Long.MIN_VALUE));
            if (!present.contains(machine.id())
                    && requestedAt - lastKnownAt > maxListAgeMs
                    && !policy.hasRecentHeartbeat(machine, eventLoop.nowMs())) {
                LOG.atInfo()
                        .addKeyValue("machine", machine.id())
                        .addKeyValue("reason", "not_listed")
                        .log("machine removed");
                listener.machineRemoved(machine);
            }
        }
    }
}
