package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.UnplacedTasks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Rents machines for work that lacks room, and returns those that are not needed, never came up, or are lost. It acts
 * only while this node's term is confirmed.
 */
public final class FleetManager {
    private static final double EXPECTED_BOOT_TIMES = 1.6;

    private final EventLoop kernel;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final MachineRecords records;
    private final ScaleOutPlanner planner;
    private final InventoryReconciler inventory;
    private final ScaleOutRequests scaleOutRequests;
    private final ScaleInPolicy scaleInPolicy;
    private final ScaleInRequests scaleInRequests;
    private final Consumer<Machine> gone;
    private final double reservedCpus;

    /**
     * How a fleet is kept.
     *
     * @param reservedCpus room that is kept rented whatever the demand, since teams are guaranteed it
     * @param reservationMs how long a silent machine keeps its room
     * @param listLagMs how late the cloud's machine list is
     */
    public record Policy(double reservedCpus, long reservationMs, long listLagMs) {
        /** A machine that was heard within this part of its hold is not silent. */
        private static final double RECENT_RESERVATION_FRACTION = 0.25;

        /**
         * Whether a machine is not silent. Such a machine is also believed before the cloud's list, which is late: the
         * machine may be back.
         */
        boolean heardRecently(Machine machine, long now) {
            return machine.liveness().heartbeatWithin((long) (RECENT_RESERVATION_FRACTION * reservationMs), now);
        }
    }

    /** @param gone told when a machine is surely gone */
    public FleetManager(
            EventLoop kernel,
            CloudClient cloud,
            LeaderTerm term,
            ClusterState cluster,
            MachineTypes types,
            MachineRecords records,
            Consolidation consolidation,
            Policy policy,
            Consumer<Machine> gone) {
        this.kernel = kernel;
        this.term = term;
        this.cluster = cluster;
        this.records = records;
        this.reservedCpus = policy.reservedCpus();
        this.gone = gone;
        this.planner = new ScaleOutPlanner(types);
        this.inventory = new InventoryReconciler(kernel, cloud, term, cluster, types, policy, this::remove);
        this.scaleOutRequests = new ScaleOutRequests(kernel, cloud, term, cluster, records);
        this.scaleInPolicy = new ScaleInPolicy(kernel, cluster, consolidation, policy);
        this.scaleInRequests = new ScaleInRequests(kernel, cloud, term, cluster, this::remove);
    }

    /** Begins to read the cloud's machine list; nothing is rented or returned before it is known. */
    public void start() {
        inventory.start();
    }

    private void remove(Machine machine) {
        cluster.remove(machine);
        records.drop(machine);
        inventory.forget(machine);
        gone.accept(machine);
    }

    /**
     * Rents for work that lacks room, and returns what is not needed.
     *
     * @param bookingsKnown whether all that is on the machines is known; before, none is returned
     * @return whether it has to be called again soon, for what the cloud could not be asked yet
     */
    public boolean scale(List<UnplacedTasks> unplaced, boolean bookingsKnown) {
        if (!term.isConfirmed() || !inventory.isInventoryKnown()) {
            return false;
        }
        List<Machine> coming =
                cluster.machines().stream().filter(this::isComing).toList();
        List<MachineOffer> requested = scaleOutRequests.requested();
        double rented = rentedCpus(requested);
        // Guards the leader's processor time while the cloud gives nothing: then there is nothing to be planned, and
        // most work waits.
        boolean more = !isExhausted() && scaleOut(unplaced, coming, requested, rented);
        if (bookingsKnown) {
            scaleInPolicy.drainUnneeded(rented);
            if (coming.isEmpty() && requested.isEmpty()) {
                scaleInPolicy.drainUnderused();
            }
        }
        return scaleInRequests.deleteDrained() || more;
    }

    private boolean scaleOut(
            List<UnplacedTasks> unplaced, List<Machine> coming, List<MachineOffer> requested, double rented) {
        Map<MachineOffer, Integer> wanted = planner.plan(
                beyondSlack(unplaced),
                coming,
                requested,
                scaleOutRequests::available,
                reservedCpus - rented,
                machinesPerZone());
        kernel.increment("fleet.plans", 1);
        kernel.increment("fleet.looks", planner.takeMachinesExamined());
        return scaleOutRequests.request(wanted);
    }

    /** Whether the cloud has refused every offer lately. */
    public boolean isExhausted() {
        return planner.offers().stream().noneMatch(scaleOutRequests::available);
    }

    private double rentedCpus(List<MachineOffer> requested) {
        double asked = requested.stream()
                .mapToDouble(offer -> offer.type().size().cpus())
                .sum();
        double held = cluster.machines().stream()
                .filter(machine -> machine.status() != Machine.Status.DRAINING)
                .mapToDouble(machine -> machine.type().size().cpus())
                .sum();
        return asked + held;
    }

    // Where room is guaranteed, it is rented for; elsewhere what can wait until its deadline does.
    private List<UnplacedTasks> beyondSlack(List<UnplacedTasks> unplaced) {
        if (reservedCpus > 0) {
            return unplaced;
        }
        ReusableSlots places = new ReusableSlots(cluster.machines(), kernel.nowMs());
        List<UnplacedTasks> left = new ArrayList<>();
        for (UnplacedTasks work : unplaced) {
            int lacking = work.count() - places.take(work.job(), work.count());
            if (lacking > 0) {
                left.add(new UnplacedTasks(work.job(), lacking));
            }
        }
        return left;
    }

    private boolean isComing(Machine machine) {
        // The usual ones are up by then: nothing waits for one that may never come.
        return machine.status() == Machine.Status.BOOTING
                && !machine.removeAllocation()
                && kernel.nowMs() - machine.rentedAt()
                        < EXPECTED_BOOT_TIMES * machine.type().bootMs();
    }

    private Map<String, Integer> machinesPerZone() {
        Map<String, Integer> held = new HashMap<>();
        cluster.machines().stream()
                .filter(machine -> !machine.spot())
                .forEach(machine -> held.merge(machine.zone(), 1, Integer::sum));
        return held;
    }
}
