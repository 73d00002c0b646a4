package io.quartzgw.fleet;

import io.quartzgw.http.Endpoint;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the cloud's machine list at intervals and reconciles it with the machines that the leader knows. */
final class MachineListing {
    private static final Logger LOG = LoggerFactory.getLogger(MachineListing.class);
    /** A list may describe the cloud of up to twice its lag ago. */
    private static final double OLDEST_LIST_LAGS = 2.2;

    private static final double LIST_EVERY_LAGS = 0.5;
    private static final int MIN_LIST_MS = 2_000;

    private final Kernel kernel;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final MachineTypes types;
    private final Fleet.Policy policy;
    private final Consumer<Machine> removed;
    private final Map<String, Long> listedAt = new HashMap<>();
    private boolean listed;

    /** @param removed told when a machine is surely gone */
    MachineListing(
            Kernel kernel,
            CloudClient cloud,
            LeaderTerm term,
            Cluster cluster,
            MachineTypes types,
            Fleet.Policy policy,
            Consumer<Machine> removed) {
        this.kernel = kernel;
        this.cloud = cloud;
        this.term = term;
        this.cluster = cluster;
        this.types = types;
        this.policy = policy;
        this.removed = removed;
    }

    /** Begins to read the list. */
    void start() {
        read();
    }

    /** Whether the list was read at least once. */
    boolean known() {
        return listed;
    }

    /** Forgets when a machine was listed. */
    void forget(Machine machine) {
        listedAt.remove(machine.id());
    }

    private void read() {
        if (!term.current()) {
            return;
        }
        long asked = kernel.now();
        cloud.list(machines -> {
            if (!term.current()) {
                return;
            }
            if (machines != null) {
                listed = true;
                machines.forEach(machine -> seen(machine, asked));
                takeAbsence(machines, asked);
                cluster.touch();
            }
            kernel.after(Math.max(MIN_LIST_MS, (long) (LIST_EVERY_LAGS * policy.listLagMs())), this::read);
        });
    }

    private void seen(CloudClient.Listed entry, long asked) {
        if (cluster.gone(entry.id())) {
            return;
        }
        listedAt.put(entry.id(), asked);
        Machine machine = cluster.machine(entry.id());
        if (machine == null) {
            machine = addUnknown(entry);
        }
        if (machine == null) {
            return;
        }
        if (machine.address() == null) {
            machine.address(Endpoint.parse(entry.address()));
        }
        if (entry.phase().equals("failed") && !policy.heardLately(machine, kernel.now())) {
            // It has stopped on its own, with all that was on it.
            LOG.info("{} has failed", entry.id());
            machine.bookingsCopy().forEach(cluster::release);
            machine.holdExpired();
            machine.leave();
        }
    }

    // Not rented by this leader, as far as it knows: it is used, or returned when idle.
    private Machine addUnknown(CloudClient.Listed entry) {
        MachineType type = types.get(entry.type());
        if (type == null) {
            return null;
        }
        long rentedAt = kernel.now() - (long) (entry.ageS() * 1000);
        Machine machine = new Machine(entry.id(), type, entry.zone(), entry.spot(), rentedAt, kernel.now());
        cluster.add(machine);
        return machine;
    }

    // Once listed, a machine stays listed until it is gone; but a list may be older than the one
    // before it. A machine is gone when it is missing in a list that can't be older than the last
    // one that had it.
    private void takeAbsence(List<CloudClient.Listed> machines, long asked) {
        Set<String> present = new HashSet<>();
        machines.forEach(machine -> present.add(machine.id()));
        long bound = (long) (OLDEST_LIST_LAGS * policy.listLagMs());
        for (Machine machine : List.copyOf(cluster.machines())) {
            // A machine of a former leader was rented at the time that its record tells.
            long last = Math.max(machine.rentedAt(), listedAt.getOrDefault(machine.id(), Long.MIN_VALUE));
            if (!present.contains(machine.id()) && asked - last > bound && !policy.heardLately(machine, kernel.now())) {
                LOG.info("{} is gone from the list", machine.id());
                removed.accept(machine);
            }
        }
    }
}
