package io.quartzgw.fleet;

import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends rental requests and repeats those without a clear answer until the cloud has told what came of them. */
final class Rentals {
    private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);
    private static final int NO_CAPACITY_PAUSE_MS = 15_000;
    private static final int REPEAT_MS = 2_000;

    private final Kernel kernel;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final MachineRecords records;
    private final Map<Offer, Long> refusedUntil = new HashMap<>();
    private final Map<String, Rental> rentals = new LinkedHashMap<>();
    private long requests;

    /** A rental request that has no clear answer yet. */
    private record Rental(String request, Offer offer, int count) {}

    Rentals(Kernel kernel, CloudClient cloud, LeaderTerm term, Cluster cluster, MachineRecords records) {
        this.kernel = kernel;
        this.cloud = cloud;
        this.term = term;
        this.cluster = cluster;
        this.records = records;
    }

    /** Whether an offer is worth asking for; one that was refused rests for a while. */
    boolean available(Offer offer) {
        return refusedUntil.getOrDefault(offer, Long.MIN_VALUE) <= kernel.now();
    }

    /** The machines of all requests that have no clear answer yet, one entry each. */
    List<Offer> requested() {
        List<Offer> offers = new ArrayList<>();
        for (Rental rental : rentals.values()) {
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
    boolean request(Map<Offer, Integer> wanted) {
        for (Map.Entry<Offer, Integer> entry : wanted.entrySet()) {
            if (!cloud.idle()) {
                return true;
            }
            rent(entry.getKey(), entry.getValue());
        }
        return false;
    }

    private void rent(Offer offer, int count) {
        // Term and counter: a request name is never used again, not by another leader either.
        String name = "r-" + term.number() + "-" + ++requests;
        Rental rental = new Rental(name, offer, Math.min(count, CloudClient.MAX_HIRE));
        rentals.put(rental.request(), rental);
        LOG.info("renting {} {}", rental.count(), offer);
        send(rental);
    }

    private void send(Rental rental) {
        Offer offer = rental.offer();
        cloud.hire(
                rental.request(),
                offer.type().name(),
                offer.zone(),
                offer.spot(),
                rental.count(),
                hired -> answered(rental, hired));
    }

    private void answered(Rental rental, CloudClient.Hired hired) {
        if (!term.current()) {
            return;
        }
        if (hired instanceof CloudClient.Hired.Unclear) {
            // It may have been carried out: only the same request tells, and rents nothing twice.
            kernel.after(REPEAT_MS, () -> send(rental));
            return;
        }
        rentals.remove(rental.request());
        List<String> ids = hired instanceof CloudClient.Hired.Machines machines ? machines.ids() : List.of();
        ids.forEach(id -> rented(id, rental.offer()));
        if (ids.size() < rental.count()) {
            refusedUntil.put(rental.offer(), kernel.now() + NO_CAPACITY_PAUSE_MS);
        }
        cluster.touch();
    }

    private void rented(String id, Offer offer) {
        if (cluster.machine(id) == null && !cluster.gone(id)) {
            Machine machine = new Machine(id, offer.type(), offer.zone(), offer.spot(), kernel.now(), kernel.now());
            cluster.add(machine);
            records.note(machine);
        }
    }
}
