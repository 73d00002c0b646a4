package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines are drained for scale-in: machines that are idle, lost or failed to boot, and underutilized
 * machines whose tasks fit elsewhere.
 */
final class ScaleInPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);
    /** Boot times vary; a machine that takes longer than this many usual boot times is drained. */
    private static final double MAX_BOOT_TIMES = 3;
    /**
     * The minimum rental time that the cloud charges; idle and underutilized machines are not deleted before its end.
     */
    private static final int MIN_RENTAL_MS = 60_000;
    /** How long before the end of the minimum rental time a machine may be drained. */
    private static final int DRAIN_AHEAD_MS = 2_000;
    /** How long a machine may be idle, as between two jobs, in boot times: jobs with a deadline can wait for a boot. */
    private static final double IDLE_BOOT_TIMES = 0.2;
    /** A machine is lost after it was unresponsive or unreachable for this many reservations. */
    private static final double LOST_MACHINE_RESERVATIONS = 1.5;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final Consolidation consolidation;
    private final FleetManager.Policy policy;
    private final long electedAt;

    ScaleInPolicy(EventLoop eventLoop, ClusterState cluster, Consolidation consolidation, FleetManager.Policy policy) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.consolidation = consolidation;
        this.policy = policy;
        this.electedAt = eventLoop.nowMs();
    }

    /**
     * Drains machines that are not needed.
     *
     * @param rentedCpus the CPUs of all machines that are rented or requested
     */
    void drainUnneeded(double rentedCpus) {
        double spareCpus = rentedCpus - policy.reservedCpus();
        Resources idle = idleCapacity();
        Resources reservedDemand = demandOfUnresponsiveMachines();
        for (Machine machine : cluster.machines()) {
            double cpus = machine.type().size().cpus();
            if (failedToBoot(machine) || isLost(machine)) {
                drain(machine, machine.liveness().verified() ? "lost" : "never_booted");
            } else if (isIdle(machine)
                    && cpus <= spareCpus
                    && reservedDemand.fitsIn(idle.minus(machine.type().size()))) {
                drain(machine, "idle");
                spareCpus -= cpus;
                idle = idle.minus(machine.type().size());
            }
        }
    }

    private static void drain(Machine machine, String reason) {
        machine.drain();
        logDrained(machine, reason);
    }

    private static void logDrained(Machine machine, String reason) {
        LOG.atInfo()
                .addKeyValue("machine", machine.id())
                .addKeyValue("reason", reason)
                .log("machine drained");
    }

    private Resources idleCapacity() {
        Resources capacity = Resources.NONE;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && machine.hasNoAllocations() && !machine.reservationExpired()) {
                capacity = capacity.plus(machine.type().size());
            }
        }
        return capacity;
    }

    // Guards against scale-in shortly before capacity is needed. Tasks that may run on an unresponsive machine are not
    // pending, but they all become pending when its reservation expires. Then the cloud may have no capacity left.
    private Resources demandOfUnresponsiveMachines() {
        Resources demand = Resources.NONE;
        for (Job job : cluster.jobsWithUnaccountedTasks()) {
            demand = demand.plus(job.spec().demand().times(job.unaccounted().cardinality()));
        }
        for (Machine machine : cluster.machines()) {
            for (Allocation unfenced : machine.fencing().unfenced()) {
                demand = demand.plus(unfenced.demand());
            }
            if (!machine.hasNoAllocations()
                    && !machine.reservationExpired()
                    && !policy.hasRecentHeartbeat(machine, eventLoop.nowMs())) {
                demand = demand.plus(machine.type().size().minus(machine.freeCapacity()));
            }
        }
        return demand;
    }

    /** Drains an underutilized machine, unless another machine is still being evacuated. */
    void drainUnderutilized() {
        boolean draining = cluster.machines().stream()
                .anyMatch(machine -> machine.status() == Machine.Status.DRAINING && !machine.hasNoAllocations());
        if (policy.reservedCpus() > 0 || draining) {
            return;
        }
        consolidation
                .drainOne(this::minimumRentalElapsed, eventLoop.nowMs())
                .ifPresent(drained -> logDrained(drained, "consolidated"));
    }

    private boolean minimumRentalElapsed(Machine machine) {
        return eventLoop.nowMs() - machine.rentedAt() > MIN_RENTAL_MS - DRAIN_AHEAD_MS;
    }

    private boolean isIdle(Machine machine) {
        long idleMs = (long) (IDLE_BOOT_TIMES * machine.type().bootMs());
        return machine.status() == Machine.Status.UP
                && machine.hasNoAllocations()
                && !machine.reservationExpired()
                && eventLoop.nowMs() - machine.emptySince() > idleMs
                && minimumRentalElapsed(machine)
                && eventLoop.nowMs() - electedAt > idleMs;
    }

    private boolean failedToBoot(Machine machine) {
        return machine.status() == Machine.Status.BOOTING
                && (!machine.hasRunTasks() || machine.reservationExpired())
                && eventLoop.nowMs() - Math.max(machine.rentedAt(), electedAt)
                        > (long) (MAX_BOOT_TIMES * machine.type().bootMs());
    }

    // A machine is lost if its reservation has expired without a further heartbeat, or if it sends heartbeats but does
    // not respond to direct calls. Such machines must not accumulate while others are rented in their place.
    private boolean isLost(Machine machine) {
        if (machine.status() != Machine.Status.UP || !machine.hasNoAllocations()) {
            return false;
        }
        AgentLiveness liveness = machine.liveness();
        long maxUnresponsiveMs = (long) (LOST_MACHINE_RESERVATIONS * policy.reservationMs());
        boolean unresponsiveTooLong = machine.reservationExpired()
                && eventLoop.nowMs() - Math.max(liveness.lastResponseAt(), electedAt) > maxUnresponsiveMs;
        boolean unreachableTooLong =
                liveness.unreachable() && eventLoop.nowMs() - liveness.unreachableSince() > maxUnresponsiveMs;
        return unresponsiveTooLong || unreachableTooLong;
    }
}
