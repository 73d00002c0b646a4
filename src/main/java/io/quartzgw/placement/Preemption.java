package io.quartzgw.placement;

import io.quartzgw.submission.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Finds the machine where a task of higher priority gets room at the least loss. */
final class Preemption {

    /** Tasks to stop on a machine so that one more task fits there. */
    record Plan(Machine machine, List<Booking> victims, double lossCpuMs) {}

    private Preemption() {}

    /** The cheapest plan, or null when stopping tasks of lower priority makes no room anywhere. */
    static Plan cheapest(Job job, List<Machine> machines, Predicate<Machine> allowed, long now) {
        Plan best = null;
        for (Machine machine : machines) {
            Plan plan = allowed.test(machine) ? plan(job, machine, now) : null;
            if (plan != null && (best == null || plan.lossCpuMs < best.lossCpuMs)) {
                best = plan;
            }
        }
        return best;
    }

    private static Plan plan(Job job, Machine machine, long now) {
        Resources room = machine.room();
        List<Booking> victims = new ArrayList<>();
        double loss = 0;
        List<Booking> candidates = machine.bookings().stream()
                .filter(booking -> booking.seen() && !booking.stopping()
                        && job.spec().priority().above(booking.job().spec().priority()))
                .sorted(Comparator.comparingDouble((Booking booking) -> loss(booking, now))
                        .thenComparing(Booking::attempt))
                .toList();
        for (Booking candidate : candidates) {
            if (job.spec().demand().fitsIn(room)) {
                break;
            }
            victims.add(candidate);
            room = room.plus(candidate.demand());
            loss += loss(candidate, now);
        }
        return !victims.isEmpty() && job.spec().demand().fitsIn(room) ? new Plan(machine, victims, loss) : null;
    }

    /** What is lost when the task is stopped at once: the run since its last checkpoint. */
    private static double loss(Booking booking, long now) {
        double ran = booking.ranMs(now);
        double checkpoint = booking.job().spec().checkpointS() * 1000;
        return (checkpoint > 0 ? ran % checkpoint : ran) * booking.demand().cpus();
    }
}
