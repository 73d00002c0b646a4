package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines are to be returned: those that are idle, never came up, or are lost, and those that are
 * cleared because little of them is in use.
 */
final class ScaleInPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);
    /** Boot times vary; one that takes longer than this many usual ones is not waited for. */
    private static final double MAX_BOOT_TIMES = 3;
    /** Charged in any case, so a machine is not returned before. */
    private static final int MIN_CHARGED_MS = 60_000;
    /** How long before the charged time is over a machine may be cleared. */
    private static final int DRAIN_AHEAD_MS = 2_000;
    /** A pause between two jobs is bridged, no more: work with a deadline can wait for a boot. */
    private static final double IDLE_BOOT_TIMES = 0.2;
    /** A machine is lost when it was silent for this many holds while this leader answered. */
    private static final double LOST_RESERVATIONS = 1.5;

    private final EventLoop kernel;
    private final ClusterState cluster;
    private final Consolidation consolidation;
    private final FleetManager.Policy policy;
    private final long electedAt;

    ScaleInPolicy(EventLoop kernel, ClusterState cluster, Consolidation consolidation, FleetManager.Policy policy) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.consolidation = consolidation;
        this.policy = policy;
        this.electedAt = kernel.nowMs();
    }

    /**
     * Marks the machines that are to be returned.
     *
     * @param rentedCpus the size of all machines that are rented or requested
     */
    void drainUnneeded(double rentedCpus) {
        double spare = rentedCpus - policy.reservedCpus();
        Resources idleRoom = idleCapacity();
        Resources unaccounted = unaccountedDemand();
        for (Machine machine : cluster.machines()) {
            double cpus = machine.type().size().cpus();
            if (neverBooted(machine) || isLost(machine)) {
                LOG.info("returning {}: {}", machine.id(), !machine.liveness().verified() ? "never came up" : "lost");
                machine.drain();
            } else if (isIdle(machine)
                    && cpus <= spare
                    && unaccounted.fitsIn(idleRoom.minus(machine.type().size()))) {
                LOG.info("returning {}: idle", machine.id());
                machine.drain();
                spare -= cpus;
                idleRoom = idleRoom.minus(machine.type().size());
            }
        }
    }

    private Resources idleCapacity() {
        Resources room = Resources.NONE;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && machine.empty() && !machine.removeAllocation()) {
                room = room.plus(machine.type().size());
            }
        }
        return room;
    }

    // Guards against returning machines shortly before they are needed: tasks that may run on a silent machine wait for
    // no place, but when its reservation ends they all do, and then the cloud may have nothing left to rent.
    private Resources unaccountedDemand() {
        Resources demand = Resources.NONE;
        for (Job job : cluster.jobsWithUnaccountedTasks()) {
            demand = demand.plus(job.spec().demand().times(job.unaccounted().cardinality()));
        }
        for (Machine machine : cluster.machines()) {
            if (!machine.empty() && !machine.removeAllocation() && !policy.heardRecently(machine, kernel.nowMs())) {
                demand = demand.plus(machine.type().size().minus(machine.freeCapacity()));
            }
        }
        return demand;
    }

    /** Clears a machine of which little is in use, one after the other. */
    void drainUnderused() {
        boolean clearing = cluster.machines().stream()
                .anyMatch(machine -> machine.status() == Machine.Status.DRAINING && !machine.empty());
        if (policy.reservedCpus() > 0 || clearing) {
            return;
        }
        consolidation
                .drainOne(this::nearlyCharged, kernel.nowMs())
                .ifPresent(drained -> LOG.info("clearing {}: its replicas have room elsewhere", drained.id()));
    }

    private boolean nearlyCharged(Machine machine) {
        return kernel.nowMs() - machine.rentedAt() > MIN_CHARGED_MS - DRAIN_AHEAD_MS;
    }

    private boolean isIdle(Machine machine) {
        long idleMs = (long) (IDLE_BOOT_TIMES * machine.type().bootMs());
        return machine.status() == Machine.Status.UP
                && machine.empty()
                && !machine.removeAllocation()
                && kernel.nowMs() - machine.emptySince() > idleMs
                && nearlyCharged(machine)
                && kernel.nowMs() - electedAt > idleMs;
    }

    private boolean neverBooted(Machine machine) {
        return machine.status() == Machine.Status.BOOTING
                && (!machine.hasRunTasks() || machine.removeAllocation())
                && kernel.nowMs() - Math.max(machine.rentedAt(), electedAt)
                        > (long) (MAX_BOOT_TIMES * machine.type().bootMs());
    }

    // Its hold is over and it has not come back, or it reports and takes no orders: it is of no use, and
    // those that can't be reached must not pile up while others are rented in their place.
    private boolean isLost(Machine machine) {
        if (machine.status() != Machine.Status.UP || !machine.empty()) {
            return false;
        }
        AgentLiveness presence = machine.liveness();
        long patience = (long) (LOST_RESERVATIONS * policy.reservationMs());
        return machine.removeAllocation() && kernel.nowMs() - Math.max(presence.lastResponseAt(), electedAt) > patience
                || presence.unreachable() && kernel.nowMs() - presence.unreachableSince() > patience;
    }
}
