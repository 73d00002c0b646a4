package io.quartzgw.fleet;

import io.quartzgw.http.Endpoint;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Consolidation;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Presence;
import io.quartzgw.placement.Unplaced;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines for work that lacks room, and returns those that are not needed, never came up, or are lost. It acts
 * only while this node's term is confirmed.
 */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    /** A list may describe the cloud of up to twice its lag ago. */
    private static final double OLDEST_LIST_LAGS = 2.2;

    private static final double LIST_EVERY_LAGS = 0.5;
    private static final int MIN_LIST_MS = 2_000;
    private static final int NO_CAPACITY_PAUSE_MS = 15_000;
    private static final double USUAL_BOOTS = 1.6;
    /** Boot times vary; one that takes longer than this many usual ones is not waited for. */
    private static final double BOOT_PATIENCE = 3;
    /** Charged in any case, so a machine is not returned before. */
    private static final int CHARGED_MS = 60_000;
    /** A pause between two jobs is bridged, no more: work with a deadline can wait for a boot. */
    private static final double IDLE_BOOTS = 0.2;
    /** A machine is lost when it was silent for this many holds while this leader answered. */
    private static final double LOST_HOLDS = 1.5;

    private final Kernel kernel;
    private final CloudClient cloud;
    private final CloudLimits limits;
    private final Leadership leadership;
    private final Cluster cluster;
    private final MachineTypes types;
    private final MachineRecords records;
    private final Consolidation consolidation;
    private final RentPlan plan;
    private final Consumer<Machine> gone;
    private final double keptCpus;
    private final long silentMs;
    private final long term;
    private final long since;
    private final Map<Offer, Long> refusedUntil = new HashMap<>();
    private final Map<String, Rental> rentals = new LinkedHashMap<>();
    private final Map<String, Long> listedAt = new HashMap<>();
    private final Set<String> deleting = new HashSet<>();
    private long requests;
    private boolean listed;

    /** A rental request that has no clear answer yet. */
    record Rental(String request, Offer offer, int count) {}

    /**
     * @param keptCpus room that is kept rented whatever the demand, since teams are guaranteed it
     * @param gone told when a machine is surely gone
     */
    public Fleet(
            Kernel kernel,
            CloudClient cloud,
            CloudLimits limits,
            Leadership leadership,
            Cluster cluster,
            MachineTypes types,
            MachineRecords records,
            Consolidation consolidation,
            double keptCpus,
            long silentMs,
            Consumer<Machine> gone) {
        this.kernel = kernel;
        this.cloud = cloud;
        this.limits = limits;
        this.leadership = leadership;
        this.cluster = cluster;
        this.types = types;
        this.records = records;
        this.consolidation = consolidation;
        this.plan = new RentPlan(types);
        this.keptCpus = keptCpus;
        this.silentMs = silentMs;
        this.gone = gone;
        this.term = leadership.term();
        this.since = kernel.now();
    }

    public void start() {
        list();
    }

    private boolean current() {
        return leadership.leading() && leadership.term() == term;
    }

    // ---- the machine list

    private void list() {
        if (!current()) {
            return;
        }
        long asked = kernel.now();
        cloud.list(machines -> {
            if (!current()) {
                return;
            }
            if (machines != null) {
                listed = true;
                machines.forEach(machine -> seen(machine, asked));
                takeAbsence(machines, asked);
                cluster.touch();
            }
            kernel.after(Math.max(MIN_LIST_MS, (long) (LIST_EVERY_LAGS * limits.listLagMs())), this::list);
        });
    }

    private void seen(CloudClient.Listed entry, long asked) {
        if (cluster.gone(entry.id())) {
            return;
        }
        listedAt.put(entry.id(), asked);
        Machine machine = cluster.machine(entry.id());
        if (machine == null) {
            MachineType type = types.get(entry.type());
            if (type == null) {
                return;
            }
            // Not rented by this leader, as far as it knows: it is used, or returned when idle.
            machine = new Machine(
                    entry.id(),
                    type,
                    entry.zone(),
                    entry.spot(),
                    kernel.now() - (long) (entry.ageS() * 1000),
                    kernel.now());
            cluster.add(machine);
        }
        if (machine.address() == null) {
            machine.address(Endpoint.parse(entry.address()));
        }
        if (entry.phase().equals("failed") && !heardLately(machine)) {
            // It has stopped on its own, with all that was on it.
            LOG.info("{} has failed", entry.id());
            machine.bookingsCopy().forEach(cluster::release);
            machine.holdExpired();
            machine.leave();
        }
    }

    // Once listed, a machine stays listed until it is gone; but a list may be older than the one
    // before it. A machine is gone when it is missing in a list that can't be older than the last
    // one that had it.
    private void takeAbsence(List<CloudClient.Listed> machines, long asked) {
        Set<String> present = new HashSet<>();
        machines.forEach(machine -> present.add(machine.id()));
        long bound = (long) (OLDEST_LIST_LAGS * limits.listLagMs());
        for (Machine machine : List.copyOf(cluster.machines())) {
            // A machine of a former leader was rented at the time that its record tells.
            long last = Math.max(machine.rentedAt(), listedAt.getOrDefault(machine.id(), Long.MIN_VALUE));
            if (!present.contains(machine.id()) && asked - last > bound && !heardLately(machine)) {
                LOG.info("{} is gone from the list", machine.id());
                remove(machine);
            }
        }
    }

    // The list is late, and a machine may be back: what its worker says counts for more.
    private boolean heardLately(Machine machine) {
        return machine.presence().vouched() && kernel.now() - machine.presence().heardAt() < silentMs / 4;
    }

    private void remove(Machine machine) {
        cluster.remove(machine);
        records.drop(machine);
        listedAt.remove(machine.id());
        gone.accept(machine);
    }

    // ---- renting

    /**
     * Rents for work that lacks room, and returns what is not needed.
     *
     * @param all whether all that is on the machines is known; before, none is returned
     * @return whether it has to be called again soon, for what the cloud could not be asked yet
     */
    public boolean adjust(List<Unplaced> unplaced, boolean all) {
        if (!current() || !leadership.confirmed() || !listed) {
            return false;
        }
        List<Machine> coming = cluster.machines().stream().filter(this::coming).toList();
        List<Offer> asked = new ArrayList<>();
        rentals.values().forEach(rental -> {
            for (int i = 0; i < rental.count(); i++) {
                asked.add(rental.offer());
            }
        });
        double rented =
                asked.stream().mapToDouble(offer -> offer.type().size().cpus()).sum()
                        + cluster.machines().stream()
                                .filter(machine -> machine.status() != Machine.Status.LEAVING)
                                .mapToDouble(machine -> machine.type().size().cpus())
                                .sum();
        Map<Offer, Integer> wanted =
                plan.plan(beyondSlack(unplaced), coming, asked, this::available, keptCpus - rented, machinesPerZone());
        kernel.count("fleet.plans", 1);
        kernel.count("fleet.looks", plan.takeLooks());
        boolean more = rentFirst(wanted);
        if (all) {
            retireIdle(rented);
            clearLittleUsed(coming, asked);
        }
        return deleteLeaving() || more;
    }

    // Where room is guaranteed, it is rented for; elsewhere what can wait until its deadline does.
    private List<Unplaced> beyondSlack(List<Unplaced> unplaced) {
        if (keptCpus > 0) {
            return unplaced;
        }
        Slack slack = new Slack(cluster.machines(), kernel.now());
        List<Unplaced> left = new ArrayList<>();
        for (Unplaced work : unplaced) {
            int lacking = work.count() - slack.take(work.job(), work.count());
            if (lacking > 0) {
                left.add(new Unplaced(work.job(), lacking));
            }
        }
        return left;
    }

    private boolean coming(Machine machine) {
        // The usual ones are up by then: nothing waits for one that may never come.
        return machine.status() == Machine.Status.BOOTING
                && !machine.released()
                && kernel.now() - machine.rentedAt() < USUAL_BOOTS * bootMs(machine);
    }

    private static long bootMs(Machine machine) {
        return (long) (machine.type().bootS() * 1000);
    }

    private boolean available(Offer offer) {
        return refusedUntil.getOrDefault(offer, Long.MIN_VALUE) <= kernel.now();
    }

    private Map<String, Integer> machinesPerZone() {
        Map<String, Integer> held = new HashMap<>();
        cluster.machines().stream()
                .filter(machine -> !machine.spot())
                .forEach(machine -> held.merge(machine.zone(), 1, Integer::sum));
        return held;
    }

    // The cloud takes few calls: what it can't be asked now is thought over again, so that each request is as
    // large as can be, and the most urgent work comes first.
    private boolean rentFirst(Map<Offer, Integer> wanted) {
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
        Rental rental = new Rental("r-" + term + "-" + ++requests, offer, Math.min(count, CloudClient.MAX_HIRE));
        rentals.put(rental.request(), rental);
        LOG.info("renting {} {}", rental.count(), offer);
        send(rental);
    }

    private void send(Rental rental) {
        Offer offer = rental.offer();
        cloud.hire(rental.request(), offer.type().name(), offer.zone(), offer.spot(), rental.count(), hired -> {
            if (!current()) {
                return;
            }
            if (hired instanceof CloudClient.Hired.Unclear) {
                // It may have been carried out: only the same request tells, and rents nothing twice.
                kernel.after(MIN_LIST_MS, () -> send(rental));
                return;
            }
            rentals.remove(rental.request());
            List<String> ids = hired instanceof CloudClient.Hired.Machines machines ? machines.ids() : List.of();
            ids.forEach(id -> rented(id, offer));
            if (ids.size() < rental.count()) {
                refusedUntil.put(offer, kernel.now() + NO_CAPACITY_PAUSE_MS);
            }
            cluster.touch();
        });
    }

    private void rented(String id, Offer offer) {
        if (cluster.machine(id) == null && !cluster.gone(id)) {
            Machine machine = new Machine(id, offer.type(), offer.zone(), offer.spot(), kernel.now(), kernel.now());
            cluster.add(machine);
            records.note(machine);
        }
    }

    // ---- returning

    private void retireIdle(double rentedCpus) {
        double spare = rentedCpus - keptCpus;
        for (Machine machine : cluster.machines()) {
            double cpus = machine.type().size().cpus();
            if (neverCame(machine) || lost(machine)) {
                LOG.info("returning {}: {}", machine.id(), !machine.presence().vouched() ? "never came up" : "lost");
                machine.leave();
            } else if (machine.status() == Machine.Status.UP
                    && machine.empty()
                    && !machine.released()
                    && cpus <= spare
                    && idle(machine)) {
                LOG.info("returning {}: idle", machine.id());
                machine.leave();
                spare -= cpus;
            }
        }
    }

    // One machine after the other, and none while room is lacking or coming.
    private void clearLittleUsed(List<Machine> coming, List<Offer> asked) {
        boolean clearing = cluster.machines().stream()
                .anyMatch(machine -> machine.status() == Machine.Status.LEAVING && !machine.empty());
        if (keptCpus > 0 || clearing || !coming.isEmpty() || !asked.isEmpty()) {
            return;
        }
        Machine cleared = consolidation.clearOne(this::charged, kernel.now());
        if (cleared != null) {
            LOG.info("clearing {}: its replicas have room elsewhere", cleared.id());
        }
    }

    private boolean charged(Machine machine) {
        return kernel.now() - machine.rentedAt() > CHARGED_MS - MIN_LIST_MS;
    }

    private boolean idle(Machine machine) {
        return kernel.now() - machine.emptySince() > (long) (IDLE_BOOTS * bootMs(machine))
                && charged(machine)
                && kernel.now() - since > IDLE_BOOTS * bootMs(machine);
    }

    private boolean neverCame(Machine machine) {
        return machine.status() == Machine.Status.BOOTING
                && (!machine.used() || machine.released())
                && kernel.now() - Math.max(machine.rentedAt(), since) > (long) (BOOT_PATIENCE * bootMs(machine));
    }

    // Its hold is over and it has not come back, or it reports and takes no orders: it is of no use, and
    // those that can't be reached must not pile up while others are rented in their place.
    private boolean lost(Machine machine) {
        if (machine.status() != Machine.Status.UP || !machine.empty()) {
            return false;
        }
        Presence presence = machine.presence();
        long patience = (long) (LOST_HOLDS * silentMs);
        return machine.released() && kernel.now() - Math.max(presence.lastAnswered(), since) > patience
                || presence.unreachable() && kernel.now() - presence.unreachableSince() > patience;
    }

    /** Returns whether machines are left to be returned. */
    private boolean deleteLeaving() {
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
        if (ids.isEmpty()) {
            return false;
        }
        cloud.delete(ids, deleted -> {
            deleting.removeAll(ids);
            if (!current()) {
                return;
            }
            if (deleted) {
                ids.stream()
                        .map(cluster::machine)
                        .filter(machine -> machine != null)
                        .forEach(this::remove);
            } else {
                kernel.after(MIN_LIST_MS, cluster::touch);
            }
        });
        return false;
    }
}
