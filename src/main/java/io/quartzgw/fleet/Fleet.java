package io.quartzgw.fleet;

import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Consolidation;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Unplaced;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Rents machines for work that lacks room, and returns those that are not needed, never came up, or are lost. It acts
 * only while this node's term is confirmed.
 */
public final class Fleet {
    private static final double USUAL_BOOTS = 1.6;

    private final Kernel kernel;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final MachineRecords records;
    private final RentPlan plan;
    private final MachineListing listing;
    private final Rentals rentals;
    private final Retirement retirement;
    private final Returns returns;
    private final Consumer<Machine> gone;
    private final double keptCpus;

    /**
     * How a fleet is kept.
     *
     * @param keptCpus room that is kept rented whatever the demand, since teams are guaranteed it
     * @param silentMs how long a silent machine keeps its room
     * @param listLagMs how late the cloud's machine list is
     */
    public record Policy(double keptCpus, long silentMs, long listLagMs) {
        /** A machine that was heard within this part of its hold is not silent. */
        private static final double HEARD_LATELY_HOLDS = 0.25;

        /**
         * Whether a machine is not silent. Such a machine is also believed before the cloud's list, which is late: the
         * machine may be back.
         */
        boolean heardLately(Machine machine, long now) {
            return machine.presence().heardWithin((long) (HEARD_LATELY_HOLDS * silentMs), now);
        }
    }

    /** @param gone told when a machine is surely gone */
    public Fleet(
            Kernel kernel,
            CloudClient cloud,
            LeaderTerm term,
            Cluster cluster,
            MachineTypes types,
            MachineRecords records,
            Consolidation consolidation,
            Policy policy,
            Consumer<Machine> gone) {
        this.kernel = kernel;
        this.term = term;
        this.cluster = cluster;
        this.records = records;
        this.keptCpus = policy.keptCpus();
        this.gone = gone;
        this.plan = new RentPlan(types);
        this.listing = new MachineListing(kernel, cloud, term, cluster, types, policy, this::remove);
        this.rentals = new Rentals(kernel, cloud, term, cluster, records);
        this.retirement = new Retirement(kernel, cluster, consolidation, policy);
        this.returns = new Returns(kernel, cloud, term, cluster, this::remove);
    }

    /** Begins to read the cloud's machine list; nothing is rented or returned before it is known. */
    public void start() {
        listing.start();
    }

    private void remove(Machine machine) {
        cluster.remove(machine);
        records.drop(machine);
        listing.forget(machine);
        gone.accept(machine);
    }

    /**
     * Rents for work that lacks room, and returns what is not needed.
     *
     * @param all whether all that is on the machines is known; before, none is returned
     * @return whether it has to be called again soon, for what the cloud could not be asked yet
     */
    public boolean adjust(List<Unplaced> unplaced, boolean all) {
        if (!term.confirmed() || !listing.known()) {
            return false;
        }
        List<Machine> coming = cluster.machines().stream().filter(this::coming).toList();
        List<Offer> requested = rentals.requested();
        double rented = rentedCpus(requested);
        // Guards the leader's processor time while the cloud gives nothing: then there is nothing to be planned, and
        // most work waits.
        boolean more = !exhausted() && rent(unplaced, coming, requested, rented);
        if (all) {
            retirement.retire(rented);
            if (coming.isEmpty() && requested.isEmpty()) {
                retirement.clearLittleUsed();
            }
        }
        return returns.deleteLeaving() || more;
    }

    private boolean rent(List<Unplaced> unplaced, List<Machine> coming, List<Offer> requested, double rented) {
        Map<Offer, Integer> wanted = plan.plan(
                beyondSlack(unplaced), coming, requested, rentals::available, keptCpus - rented, machinesPerZone());
        kernel.count("fleet.plans", 1);
        kernel.count("fleet.looks", plan.takeLooks());
        return rentals.request(wanted);
    }

    /** Whether the cloud has refused every offer lately. */
    public boolean exhausted() {
        return plan.offers().stream().noneMatch(rentals::available);
    }

    private double rentedCpus(List<Offer> requested) {
        double asked = requested.stream()
                .mapToDouble(offer -> offer.type().size().cpus())
                .sum();
        double held = cluster.machines().stream()
                .filter(machine -> machine.status() != Machine.Status.LEAVING)
                .mapToDouble(machine -> machine.type().size().cpus())
                .sum();
        return asked + held;
    }

    // Where room is guaranteed, it is rented for; elsewhere what can wait until its deadline does.
    private List<Unplaced> beyondSlack(List<Unplaced> unplaced) {
        if (keptCpus > 0) {
            return unplaced;
        }
        ReusablePlaces places = new ReusablePlaces(cluster.machines(), kernel.now());
        List<Unplaced> left = new ArrayList<>();
        for (Unplaced work : unplaced) {
            int lacking = work.count() - places.take(work.job(), work.count());
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
                && kernel.now() - machine.rentedAt()
                        < USUAL_BOOTS * machine.type().bootMs();
    }

    private Map<String, Integer> machinesPerZone() {
        Map<String, Integer> held = new HashMap<>();
        cluster.machines().stream()
                .filter(machine -> !machine.spot())
                .forEach(machine -> held.merge(machine.zone(), 1, Integer::sum));
        return held;
    }
}
