package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Drains underutilized machines whose service replicas all fit on other machines that have their images, so that the
 * fleet can scale in. Batch tasks need no consolidation, since they complete. A single service replica would keep its
 * machine rented for as long as the service runs.
 */
public final class Consolidation {
    /** Machines with a higher CPU utilization are not drained. */
    private static final double MAX_UTILIZATION = 0.6;
    /** A replica that has run for a shorter time is not moved: a start counts only if the replica stays up. */
    private static final double MIN_RUNTIME_LEASES = 2;

    private final ClusterState cluster;
    private final Predicate<Machine> schedulable;
    private final TaskLauncher launcher;
    private final long minRuntimeMs;

    /** @param schedulable whether tasks may be allocated to a machine now */
    public Consolidation(ClusterState cluster, Predicate<Machine> schedulable, TaskLauncher launcher, long leaseMs) {
        this.cluster = cluster;
        this.schedulable = schedulable;
        this.launcher = launcher;
        this.minRuntimeMs = (long) (MIN_RUNTIME_LEASES * leaseMs);
    }

    /**
     * Drains one machine whose replicas all fit on other machines, unless a task is pending.
     *
     * @param removable whether a machine may be scaled in at all
     * @return the machine that is drained, or empty if there is none
     */
    public Optional<Machine> drainOne(Predicate<Machine> removable, long now) {
        if (!cluster.pendingJobs().isEmpty()) {
            return Optional.empty();
        }
        List<Machine> machines = cluster.machines().stream().filter(schedulable).toList();
        List<Machine> candidates = machines.stream()
                .filter(machine -> !machine.hasNoAllocations()
                        && utilization(machine) <= MAX_UTILIZATION
                        && removable.test(machine)
                        && machine.allocations().stream().allMatch(allocation -> isMovable(allocation, now)))
                .sorted(Comparator.comparingDouble(Consolidation::utilization).thenComparing(Machine::id))
                .toList();
        for (Machine machine : candidates) {
            if (allFitElsewhere(machine, machines, now)) {
                machine.drain();
                machine.allocationsSnapshot()
                        .forEach(allocation -> launcher.stop(
                                allocation, allocation.job().spec().checkpointGraceS(), StopReason.CONSOLIDATED));
                return Optional.of(machine);
            }
        }
        return Optional.empty();
    }

    private boolean isMovable(Allocation allocation, long now) {
        return allocation.job().spec().service()
                && !allocation.stopping()
                && launcher.isRelocatable(allocation)
                && allocation.phase() == Allocation.Phase.RUNNING
                && allocation.runtimeMs(now) >= minRuntimeMs;
    }

    private static double utilization(Machine machine) {
        Resources size = machine.type().size();
        return 1 - machine.freeCapacity().cpus() / size.cpus();
    }

    // Targets are in the same zone, so that no zone constraint is affected. Their utilization is at least as high, so
    // that replicas are not moved back and forth.
    private static boolean allFitElsewhere(Machine from, List<Machine> machines, long now) {
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
        for (Allocation allocation : from.allocations()) {
            Optional<Machine> target = targets.stream()
                    .filter(machine -> allocation.demand().fitsIn(freeCapacities.get(machine))
                            && machine.hasImage(allocation.job().spec().image())
                            && allocation.job().spec().allows(machine.type().name(), machine.zone(), machine.spot())
                            && !allocation.job().excludes(machine.id(), now))
                    .findFirst();
            if (target.isEmpty()) {
                return false;
            }
            freeCapacities.merge(target.get(), allocation.demand(), Resources::minus);
        }
        return true;
    }
}
