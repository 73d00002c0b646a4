package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Moves the replicas of a machine that is little used to machines that have room and the image, so that it can be
 * returned. Batch work ends by itself; replicas would keep a machine for one of them for as long as they run.
 */
public final class Consolidation {
    /** Only a machine of which no more than this is in use is cleared. */
    private static final double MAX_UTILIZATION = 0.6;
    /** A replica that has run for less stays: a start counts only when it lasts. */
    private static final double MIN_RUNTIME_LEASES = 2;

    private final ClusterState cluster;
    private final Predicate<Machine> usable;
    private final TaskLauncher launcher;
    private final long minRuntimeMs;

    /** @param usable whether something may be placed on a machine now */
    public Consolidation(ClusterState cluster, Predicate<Machine> usable, TaskLauncher starter, long leaseMs) {
        this.cluster = cluster;
        this.usable = usable;
        this.launcher = starter;
        this.minRuntimeMs = (long) (MIN_RUNTIME_LEASES * leaseMs);
    }

    /**
     * Clears one machine, if there is one whose replicas all have a better place, and returns it; else null.
     *
     * @param returnable whether a machine may be returned at all
     */
    public Machine drainOne(Predicate<Machine> returnable, long now) {
        if (!cluster.pendingJobs().isEmpty()) {
            return null;
        }
        List<Machine> machines = cluster.machines().stream().filter(usable).toList();
        List<Machine> candidates = machines.stream()
                .filter(machine -> !machine.empty()
                        && utilization(machine) <= MAX_UTILIZATION
                        && returnable.test(machine)
                        && machine.allocations().stream().allMatch(booking -> movable(booking, now)))
                .sorted(Comparator.comparingDouble(Consolidation::utilization).thenComparing(Machine::id))
                .toList();
        for (Machine machine : candidates) {
            if (allFitElsewhere(machine, machines)) {
                machine.drain();
                machine.allocationsSnapshot()
                        .forEach(booking -> launcher.stop(
                                booking, booking.job().spec().checkpointGraceS(), StopReason.CONSOLIDATED));
                return machine;
            }
        }
        return null;
    }

    private boolean movable(Allocation booking, long now) {
        return booking.job().spec().service()
                && !booking.stopping()
                && booking.phase() == Allocation.Phase.RUNNING
                && booking.runtimeMs(now) >= minRuntimeMs;
    }

    private static double utilization(Machine machine) {
        Resources size = machine.type().size();
        return 1 - machine.freeCapacity().cpus() / size.cpus();
    }

    // In the same zone, so that no rule on zones is touched, and on machines that are used no less, so that
    // nothing is moved to and fro.
    private static boolean allFitElsewhere(Machine from, List<Machine> machines) {
        Map<Machine, Resources> freeCapacities = new HashMap<>();
        List<Machine> targets = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine != from
                    && machine.zone().equals(from.zone())
                    && utilization(machine) >= utilization(from)
                    && machine.freeCapacity().cpus() > 0) {
                targets.add(machine);
                freeCapacities.put(machine, machine.freeCapacity());
            }
        }
        for (Allocation booking : from.allocations()) {
            Machine target = targets.stream()
                    .filter(machine -> booking.demand().fitsIn(freeCapacities.get(machine))
                            && machine.hasImage(booking.job().spec().image())
                            && booking.job().spec().allows(machine.type().name(), machine.zone(), machine.spot())
                            && !booking.job().excludes(machine.id()))
                    .findFirst()
                    .orElse(null);
            if (target == null) {
                return false;
            }
            freeCapacities.merge(target, booking.demand(), Resources::minus);
        }
        return true;
    }
}
