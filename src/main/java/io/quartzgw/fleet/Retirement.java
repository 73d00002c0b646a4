package io.quartzgw.fleet;

import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Consolidation;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Presence;
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
    private final double keptCpus;
    private final long silentMs;
    private final long since;

    /**
     * @param keptCpus room that is kept rented whatever the demand
     * @param silentMs how long a silent machine keeps its room
     */
    Retirement(Kernel kernel, Cluster cluster, Consolidation consolidation, double keptCpus, long silentMs) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.consolidation = consolidation;
        this.keptCpus = keptCpus;
        this.silentMs = silentMs;
        this.since = kernel.now();
    }

    /**
     * Marks the machines that are to be returned.
     *
     * @param rentedCpus the size of all machines that are rented or requested
     */
    void retire(double rentedCpus) {
        double spare = rentedCpus - keptCpus;
        for (Machine machine : cluster.machines()) {
            double cpus = machine.type().size().cpus();
            if (neverCame(machine) || lost(machine)) {
                LOG.info("returning {}: {}", machine.id(), !machine.presence().vouched() ? "never came up" : "lost");
                machine.leave();
            } else if (idle(machine) && cpus <= spare) {
                LOG.info("returning {}: idle", machine.id());
                machine.leave();
                spare -= cpus;
            }
        }
    }

    /** Clears a machine of which little is in use, one after the other. */
    void clearLittleUsed() {
        boolean clearing = cluster.machines().stream()
                .anyMatch(machine -> machine.status() == Machine.Status.LEAVING && !machine.empty());
        if (keptCpus > 0 || clearing) {
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
        long patience = (long) (LOST_HOLDS * silentMs);
        return machine.released() && kernel.now() - Math.max(presence.lastAnswered(), since) > patience
                || presence.unreachable() && kernel.now() - presence.unreachableSince() > patience;
    }
}
