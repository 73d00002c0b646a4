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

/**
 * Scales the fleet out for tasks that lack free capacity, and scales it in when machines are not needed, are lost or
 * failed to boot. It acts only while this controller's term is confirmed.
 */
public final class FleetManager {
    /** A machine that takes longer than this many usual boot times is not counted as future capacity. */
    private static final double EXPECTED_BOOT_TIMES = 1.6;

    private final EventLoop eventLoop;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final MachineRecords records;
    private final ScaleOutPlanner planner;
    private final InventoryReconciler inventory;
    private final ScaleOutRequests scaleOutRequests;
    private final ScaleInPolicy scaleInPolicy;
    private final ScaleInRequests scaleInRequests;
    private final FencingPolicy fencingPolicy;
    private final Listener listener;
    private final double reservedCpus;

    /**
     * The settings of the fleet.
     *
     * @param reservedCpus CPUs that stay rented regardless of demand, for the guaranteed quotas of teams
     * @param reservationMs how long the capacity of an unresponsive machine stays reserved
     * @param cancelMs how long a task may run after the cancellation of its job was acknowledged
     * @param listLagMs how outdated the cloud's machine list may be
     */
    public record Policy(double reservedCpus, long reservationMs, long cancelMs, long listLagMs) {
        /** A heartbeat is recent if it was received within this fraction of a reservation. */
        private static final double RECENT_HEARTBEAT_RESERVATIONS = 0.25;

        /**
         * Whether a current heartbeat of a machine was received recently. Such a machine is responsive. Its heartbeats
         * also take precedence over the cloud's list, which may be outdated, since the machine may have restarted.
         */
        boolean hasRecentHeartbeat(Machine machine, long now) {
            return machine.liveness().heartbeatWithin((long) (RECENT_HEARTBEAT_RESERVATIONS * reservationMs), now);
        }
    }

    /** Is notified of machines that have failed or no longer exist. */
    public interface Listener {
        /** A machine has stopped on its own, and its tasks with it; it exists until it is deleted. */
        void machineFailed(Machine machine);

        /** A machine certainly no longer exists. */
        void machineRemoved(Machine machine);
    }

    /** Creates the fleet manager of one term. */
    public FleetManager(
            FleetContext context,
            MachineTypes machineTypes,
            MachineRecords records,
            Consolidation consolidation,
            Listener listener) {
        this.eventLoop = context.eventLoop();
        this.term = context.term();
        this.cluster = context.cluster();
        this.reservedCpus = context.policy().reservedCpus();
        this.records = records;
        this.listener = listener;
        this.planner = new ScaleOutPlanner(machineTypes);
        this.inventory = new InventoryReconciler(context, machineTypes, new InventoryEvents());
        this.scaleOutRequests = new ScaleOutRequests(context, records);
        this.scaleInPolicy = new ScaleInPolicy(eventLoop, cluster, consolidation, context.policy());
        this.scaleInRequests = new ScaleInRequests(context, this::remove);
        this.fencingPolicy = new FencingPolicy(eventLoop, cluster, context.policy());
    }

    /** Starts to read the cloud's machine list; nothing is rented or deleted before it is known. */
    public void start() {
        inventory.start();
    }

    private void remove(Machine machine) {
        cluster.remove(machine);
        records.removeRecords(machine);
        inventory.stopTracking(machine);
        listener.machineRemoved(machine);
    }

    private final class InventoryEvents implements Listener {
        @Override
        public void machineFailed(Machine machine) {
            listener.machineFailed(machine);
        }

        @Override
        public void machineRemoved(Machine machine) {
            remove(machine);
        }
    }

    /**
     * Scales the fleet out and in.
     *
     * @param unplaced tasks that lack free capacity
     * @param allocationsKnown whether it is known which tasks run on the machines; no machine is drained before that
     * @return whether to call this method again soon, because the cloud's request limit was reached
     */
    public boolean scale(List<UnplacedTasks> unplaced, boolean allocationsKnown) {
        if (!term.isConfirmed() || !inventory.isInventoryKnown()) {
            return false;
        }
        // Fenced machines are deleted first, since rentals may use up the cloud's request limit, and both tasks and
        // cancellations wait for these deletions.
        if (inventory.isCloudResponding()) {
            fencingPolicy.fenceMachines(term.isConfirmationEnding());
        }
        scaleInRequests.deleteFenced();
        List<Machine> booting =
                cluster.machines().stream().filter(this::isBooting).toList();
        List<MachineOffer> requested = scaleOutRequests.requested();
        double rentedCpus = rentedCpus(requested);
        // Saves the leader's processor time while the cloud is exhausted: no plan could be carried out, and most tasks
        // are pending, which makes planning expensive.
        boolean more = !isExhausted() && scaleOut(unplaced, booting, requested, rentedCpus);
        if (allocationsKnown) {
            scaleInPolicy.drainUnneeded(rentedCpus);
            if (booting.isEmpty() && requested.isEmpty()) {
                scaleInPolicy.drainUnderutilized();
            }
        }
        return scaleInRequests.deleteDrained() || more;
    }

    private boolean scaleOut(
            List<UnplacedTasks> unplaced, List<Machine> booting, List<MachineOffer> requested, double rentedCpus) {
        Map<MachineOffer, Integer> wanted = planner.plan(
                tasksNeedingMachines(unplaced),
                booting,
                requested,
                scaleOutRequests::isAvailable,
                reservedCpus - rentedCpus,
                machinesPerZone());
        eventLoop.increment("fleet.plans", 1);
        eventLoop.increment("fleet.looks", planner.getAndResetMachinesExamined());
        return scaleOutRequests.request(wanted);
    }

    /** Whether the cloud has recently reported no capacity for every offer. */
    public boolean isExhausted() {
        return planner.offers().stream().noneMatch(scaleOutRequests::isAvailable);
    }

    private double rentedCpus(List<MachineOffer> requested) {
        double requestedCpus = requested.stream()
                .mapToDouble(offer -> offer.type().size().cpus())
                .sum();
        double machineCpus = cluster.machines().stream()
                .filter(machine -> machine.status() != Machine.Status.DRAINING)
                .mapToDouble(machine -> machine.type().size().cpus())
                .sum();
        return requestedCpus + machineCpus;
    }

    // If capacity is reserved for guaranteed quotas, all tasks get machines. Otherwise, no machine is needed for tasks
    // that can run in the slot of a running task and still meet their deadline.
    private List<UnplacedTasks> tasksNeedingMachines(List<UnplacedTasks> unplaced) {
        if (reservedCpus > 0) {
            return unplaced;
        }
        ReusableSlots slots = new ReusableSlots(cluster.machines(), eventLoop.nowMs());
        List<UnplacedTasks> remaining = new ArrayList<>();
        for (UnplacedTasks tasks : unplaced) {
            int count = tasks.count() - slots.takeSlots(tasks.job(), tasks.count());
            if (count > 0) {
                remaining.add(new UnplacedTasks(tasks.job(), count));
            }
        }
        return remaining;
    }

    private boolean isBooting(Machine machine) {
        // Most machines are up within that time. No task should wait for a machine that may never boot.
        return machine.status() == Machine.Status.BOOTING
                && !machine.reservationExpired()
                && eventLoop.nowMs() - machine.rentedAt()
                        < EXPECTED_BOOT_TIMES * machine.type().bootMs();
    }

    private Map<String, Integer> machinesPerZone() {
        Map<String, Integer> machinesPerZone = new HashMap<>();
        cluster.machines().stream()
                .filter(machine -> !machine.spot())
                .forEach(machine -> machinesPerZone.merge(machine.zone(), 1, Integer::sum));
        return machinesPerZone;
    }
}
