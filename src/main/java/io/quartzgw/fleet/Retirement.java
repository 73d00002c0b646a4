package io.quartzgw.fleet;

import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Consolidation;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Presence;
import io.quartzgw.submission.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines are to be returned: those that are idle, never came up, or are lost, and those that are
 * cleared because little of them is in use.
 */
final class Retirement {
    private static final Logger LOG = LoggerFactory.getLogger(Retirement.class);
    /** Boot times vary; one that takes longer than this many usual ones is not waited for. */
    private static final double BOOT_PATIENCE = 3;
    /** Charged in any case, so a machine is not returned before. */
    private static final int CHARGED_MS = 60_000;
    /** How long before the charged time is over a machine may be cleared. */
    private static final int CLEARING_MS = 2_000;
    /** A pause between two jobs is bridged, no more: work with a deadline can wait for a boot. */
    private static final double IDLE_BOOTS = 0.2;
    /** A machine is lost when it was silent for this many holds while this leader answered. */
    private static final double LOST_HOLDS = 1.5;

    private final Kernel kernel;
    private final Cluster cluster;
    private final Consolidation consolidation;
    private final Fleet.Policy policy;
    private final long since;

    Retirement(Kernel kernel, Cluster cluster, Consolidation consolidation, Fleet.Policy policy) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.consolidation = consolidation;
        this.policy = policy;
        this.since = kernel.now();
    }

    /**
     * Marks the machines that are to be returned.
     *
     * @param rentedCpus the size of all machines that are rented or requested
     */
    void retire(double rentedCpus) {
        double spare = rentedCpus - policy.keptCpus();
        Resources idleRoom = idleRoom();
        Resources unaccounted = unaccounted();
        for (Machine machine : cluster.machines()) {
            double cpus = machine.type().size().cpus();
            if (neverCame(machine) || lost(machine)) {
                LOG.info("returning {}: {}", machine.id(), !machine.presence().verified() ? "never came up" : "lost");
                machine.leave();
            } else if (idle(machine)
                    && cpus <= spare
                    && unaccounted.fitsIn(idleRoom.minus(machine.type().size()))) {
                LOG.info("returning {}: idle", machine.id());
                machine.leave();
                spare -= cpus;
                idleRoom = idleRoom.minus(machine.type().size());
            }
        }
    }

    private Resources idleRoom() {
        Resources room = Resources.NONE;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && machine.empty() && !machine.released()) {
                room = room.plus(machine.type().size());
            }
        }
        return room;
    }

    // Guards against returning machines shortly before they are needed: tasks that may run on a silent machine wait for
    // no place, but when its reservation ends they all do, and then the cloud may have nothing left to rent.
    private Resources unaccounted() {
        Resources demand = Resources.NONE;
        for (Job job : cluster.jobsWithUnaccounted()) {
            demand = demand.plus(job.spec().demand().times(job.unaccounted().cardinality()));
        }
        for (Machine machine : cluster.machines()) {
            if (!machine.empty() && !machine.released() && !policy.heardLately(machine, kernel.now())) {
                demand = demand.plus(machine.type().size().minus(machine.room()));
            }
        }
        return demand;
    }

    /** Clears a machine of which little is in use, one after the other. */
    void clearLittleUsed() {
        boolean clearing = cluster.machines().stream()
                .anyMatch(machine -> machine.status() == Machine.Status.LEAVING && !machine.empty());
        if (policy.keptCpus() > 0 || clearing) {
            return;
        }
        Machine cleared = consolidation.clearOne(this::nearlyCharged, kernel.now());
        if (cleared != null) {
            LOG.info("clearing {}: its replicas have room elsewhere", cleared.id());
        }
    }

    private boolean nearlyCharged(Machine machine) {
        return kernel.now() - machine.rentedAt() > CHARGED_MS - CLEARING_MS;
    }

    private boolean idle(Machine machine) {
        long idleMs = (long) (IDLE_BOOTS * machine.type().bootMs());
        return machine.status() == Machine.Status.UP
                && machine.empty()
                && !machine.released()
                && kernel.now() - machine.emptySince() > idleMs
                && nearlyCharged(machine)
                && kernel.now() - since > idleMs;
    }

    private boolean neverCame(Machine machine) {
        return machine.status() == Machine.Status.BOOTING
                && (!machine.used() || machine.released())
                && kernel.now() - Math.max(machine.rentedAt(), since)
                        > (long) (BOOT_PATIENCE * machine.type().bootMs());
    }

    // Its hold is over and it has not come back, or it reports and takes no orders: it is of no use, and
    // those that can't be reached must not pile up while others are rented in their place.
    private boolean lost(Machine machine) {
        if (machine.status() != Machine.Status.UP || !machine.empty()) {
            return false;
        }
        Presence presence = machine.presence();
        long patience = (long) (LOST_HOLDS * policy.silentMs());
        return machine.released() && kernel.now() - Math.max(presence.lastAnswered(), since) > patience
                || presence.unreachable() && kernel.now() - presence.unreachableSince() > patience;
    }
}
