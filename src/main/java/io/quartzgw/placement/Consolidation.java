package io.quartzgw.placement;

import io.quartzgw.submission.Resources;
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
    private static final double LITTLE_USED = 0.6;
    /** A replica that has run for less stays: a start counts only when it lasts. */
    private static final double SETTLED_LEASES = 2;

    private final Cluster cluster;
    private final Predicate<Machine> usable;
    private final TaskControl starter;
    private final long settledMs;

    /** @param usable whether something may be placed on a machine now */
    public Consolidation(Cluster cluster, Predicate<Machine> usable, TaskControl starter, long leaseMs) {
        this.cluster = cluster;
        this.usable = usable;
        this.starter = starter;
        this.settledMs = (long) (SETTLED_LEASES * leaseMs);
    }

    /**
     * Clears one machine, if there is one whose replicas all have a better place, and returns it; else null.
     *
     * @param returnable whether a machine may be returned at all
     */
    public Machine clearOne(Predicate<Machine> returnable, long now) {
        if (!cluster.waitingJobs().isEmpty()) {
            return null;
        }
        List<Machine> machines = cluster.machines().stream().filter(usable).toList();
        List<Machine> little = machines.stream()
                .filter(machine -> !machine.empty()
                        && used(machine) <= LITTLE_USED
                        && returnable.test(machine)
                        && machine.bookings().stream().allMatch(booking -> movable(booking, now)))
                .sorted(Comparator.comparingDouble(Consolidation::used).thenComparing(Machine::id))
                .toList();
        for (Machine machine : little) {
            if (allFitElsewhere(machine, machines)) {
                machine.leave();
                machine.bookingsCopy()
                        .forEach(booking ->
                                starter.stop(booking, booking.job().spec().saveS(), StopReason.CONSOLIDATED));
                return machine;
            }
        }
        return null;
    }

    private boolean movable(Booking booking, long now) {
        return booking.job().spec().service()
                && !booking.stopping()
                && booking.phase() == Booking.Phase.RUNNING
                && booking.ranMs(now) >= settledMs;
    }

    private static double used(Machine machine) {
        Resources size = machine.type().size();
        return 1 - machine.room().cpus() / size.cpus();
    }

    // In the same zone, so that no rule on zones is touched, and on machines that are used no less, so that
    // nothing is moved to and fro.
    private static boolean allFitElsewhere(Machine from, List<Machine> machines) {
        Map<Machine, Resources> rooms = new HashMap<>();
        List<Machine> targets = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine != from
                    && machine.zone().equals(from.zone())
                    && used(machine) >= used(from)
                    && machine.room().cpus() > 0) {
                targets.add(machine);
                rooms.put(machine, machine.room());
            }
        }
        for (Booking booking : from.bookings()) {
            Machine target = targets.stream()
                    .filter(machine -> booking.demand().fitsIn(rooms.get(machine))
                            && machine.hasImage(booking.job().spec().image())
                            && booking.job().spec().allows(machine.type().name(), machine.zone(), machine.spot())
                            && !booking.job().avoids(machine.id()))
                    .findFirst()
                    .orElse(null);
            if (target == null) {
                return false;
            }
            rooms.merge(target, booking.demand(), Resources::minus);
        }
        return true;
    }
}
