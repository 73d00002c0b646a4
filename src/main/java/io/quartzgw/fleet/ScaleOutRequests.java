package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends rental requests and repeats those without a clear answer until the cloud has told what came of them. */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);
    private static final int NO_CAPACITY_PAUSE_MS = 15_000;
    private static final int REPEAT_MS = 2_000;

    private final EventLoop kernel;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final MachineRecords records;
    private final Map<MachineOffer, Long> refusedUntil = new HashMap<>();
    private final Map<String, PendingRental> pending = new LinkedHashMap<>();
    private long lastRequestNumber;

    /** A rental request that has no clear answer yet. */
    private record PendingRental(String request, MachineOffer offer, int count) {}

    ScaleOutRequests(
            EventLoop kernel, CloudClient cloud, LeaderTerm term, ClusterState cluster, MachineRecords records) {
        this.kernel = kernel;
        this.cloud = cloud;
        this.term = term;
        this.cluster = cluster;
        this.records = records;
    }

    /** Whether an offer is worth asking for; one that was refused rests for a while. */
    boolean available(MachineOffer offer) {
        return refusedUntil.getOrDefault(offer, Long.MIN_VALUE) <= kernel.nowMs();
    }

    /** The machines of all requests that have no clear answer yet, one entry each. */
    List<MachineOffer> requested() {
        List<MachineOffer> offers = new ArrayList<>();
        for (PendingRental rental : pending.values()) {
            for (int i = 0; i < rental.count(); i++) {
                offers.add(rental.offer());
            }
        }
        return offers;
    }

    /**
     * Requests what is wanted, the most urgent first, as far as the cloud can be asked now. The cloud takes few calls:
     * the rest is planned again, so that each request is as large as can be.
     *
     * @return whether something was left
     */
    boolean request(Map<MachineOffer, Integer> wanted) {
        for (Map.Entry<MachineOffer, Integer> entry : wanted.entrySet()) {
            if (!cloud.isIdle()) {
                return true;
            }
            rent(entry.getKey(), entry.getValue());
        }
        return false;
    }

    private void rent(MachineOffer offer, int count) {
        // Term and counter: a request name is never used again, not by another leader either.
        String name = "r-" + term.fencingToken() + "-" + ++lastRequestNumber;
        PendingRental rental = new PendingRental(name, offer, Math.min(count, CloudClient.MAX_RENTAL));
        pending.put(rental.request(), rental);
        LOG.info("renting {} {}", rental.count(), offer);
        send(rental);
    }

    private void send(PendingRental rental) {
        MachineOffer offer = rental.offer();
        cloud.rent(
                rental.request(),
                offer.type().name(),
                offer.zone(),
                offer.spot(),
                rental.count(),
                hired -> answered(rental, hired));
    }

    private void answered(PendingRental rental, CloudClient.RentalResult hired) {
        if (!term.isCurrent()) {
            return;
        }
        if (hired instanceof CloudClient.RentalResult.Unknown) {
            // It may have been carried out: only the same request tells, and rents nothing twice.
            kernel.after(REPEAT_MS, () -> send(rental));
            return;
        }
        pending.remove(rental.request());
        List<String> ids = hired instanceof CloudClient.RentalResult.Machines machines ? machines.ids() : List.of();
        ids.forEach(id -> rented(id, rental.offer()));
        if (ids.size() < rental.count()) {
            refusedUntil.put(rental.offer(), kernel.nowMs() + NO_CAPACITY_PAUSE_MS);
        }
        cluster.markChanged();
    }

    private void rented(String id, MachineOffer offer) {
        if (cluster.machine(id) == null && !cluster.wasRemoved(id)) {
            Machine machine = new Machine(id, offer.type(), offer.zone(), offer.spot(), kernel.nowMs(), kernel.nowMs());
            cluster.add(machine);
            records.describe(machine);
        }
    }
}
