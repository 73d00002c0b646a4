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

/** Sends rental requests. A request without a definite result is retried under the same name. */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);
    private static final int NO_CAPACITY_BACKOFF_MS = 15_000;
    private static final int RETRY_MS = 2_000;

    private final EventLoop eventLoop;
    private final CloudClient cloud;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final MachineRecords records;
    private final Map<MachineOffer, Long> unavailableUntil = new HashMap<>();
    private final Map<String, PendingRental> pending = new LinkedHashMap<>();
    private long lastRequestNumber;

    /** A rental request without a definite result yet. */
    private record PendingRental(String request, MachineOffer offer, int count) {}

    ScaleOutRequests(FleetContext context, MachineRecords records) {
        this.eventLoop = context.eventLoop();
        this.cloud = context.cloud();
        this.term = context.term();
        this.cluster = context.cluster();
        this.records = records;
    }

    /** Whether an offer may be requested; it may not for a while after the cloud had no capacity for it. */
    boolean isAvailable(MachineOffer offer) {
        return unavailableUntil.getOrDefault(offer, Long.MIN_VALUE) <= eventLoop.nowMs();
    }

    /** Returns the offers of all requests without a definite result yet, one entry for each machine. */
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
     * Requests the wanted machines, the most urgent first, as far as the request limit allows now. The others are not
     * queued but planned again later, so that each request is as large as possible.
     *
     * @return whether some machines were not requested
     */
    boolean request(Map<MachineOffer, Integer> wanted) {
        for (Map.Entry<MachineOffer, Integer> entry : wanted.entrySet()) {
            if (!cloud.canSendNow()) {
                return true;
            }
            rent(entry.getKey(), entry.getValue());
        }
        return false;
    }

    private void rent(MachineOffer offer, int count) {
        // The term and a counter make the request name unique, also across leaders.
        String name = "r-" + term.number() + "-" + ++lastRequestNumber;
        PendingRental rental = new PendingRental(name, offer, Math.min(count, CloudClient.MAX_MACHINES_PER_RENTAL));
        pending.put(rental.request(), rental);
        LOG.atInfo()
                .addKeyValue("request", rental.request())
                .addKeyValue("type", offer.type().name())
                .addKeyValue("zone", offer.zone())
                .addKeyValue("spot", offer.spot())
                .addKeyValue("count", rental.count())
                .log("machines requested");
        send(rental);
    }

    private void send(PendingRental rental) {
        cloud.rent(rental.request(), rental.offer(), rental.count(), result -> onResult(rental, result));
    }

    private void onResult(PendingRental rental, CloudClient.RentalResult result) {
        if (!term.isCurrent()) {
            return;
        }
        if (result instanceof CloudClient.RentalResult.Unknown) {
            // The request may have been executed. Repeating it under the same name returns its result and rents nothing
            // twice.
            eventLoop.after(RETRY_MS, () -> send(rental));
            return;
        }
        pending.remove(rental.request());
        List<String> ids = result instanceof CloudClient.RentalResult.Machines machines ? machines.ids() : List.of();
        ids.forEach(id -> addMachine(id, rental.offer()));
        if (ids.size() < rental.count()) {
            unavailableUntil.put(rental.offer(), eventLoop.nowMs() + NO_CAPACITY_BACKOFF_MS);
        }
        cluster.markChanged();
    }

    private void addMachine(String id, MachineOffer offer) {
        if (cluster.findMachine(id).isEmpty() && !cluster.wasRemoved(id)) {
            Machine machine =
                    new Machine(id, offer.type(), offer.zone(), offer.spot(), eventLoop.nowMs(), eventLoop.nowMs());
            cluster.add(machine);
            records.scheduleDescription(machine);
        }
    }
}
