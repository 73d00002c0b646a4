package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Finds machines where the tasks of one job of higher priority get room at the least loss. The plans of all machines
 * are made once for the job, however many of its tasks wait.
 */
final class Preemption {

    /** Tasks to stop on a machine so that one more task fits there. */
    record Plan(Machine machine, List<Allocation> victims, double lostCpuMs) {}

    private final Job job;
    private final Predicate<Machine> allowed;
    private final long now;
    private final PriorityQueue<Plan> plans = new PriorityQueue<>(Comparator.comparingDouble(Plan::lostCpuMs)
            .thenComparing(plan -> plan.machine().id()));

    Preemption(Job job, List<Machine> machines, Predicate<Machine> allowed, long now) {
        this.job = job;
        this.allowed = allowed;
        this.now = now;
        machines.forEach(this::addPlan);
    }

    private void addPlan(Machine machine) {
        Plan plan = machine.runsBelow(job.spec().priority()) && allowed.test(machine) ? plan(machine) : null;
        if (plan != null) {
            plans.add(plan);
        }
    }

    /** The cheapest plan, or null when stopping tasks of lower priority makes no room anywhere. */
    Plan next() {
        while (!plans.isEmpty()) {
            Plan cheapest = plans.poll();
            Plan now = allowed.test(cheapest.machine()) ? plan(cheapest.machine()) : null;
            if (now != null && now.victims().equals(cheapest.victims())) {
                return now;
            }
            // The machine has changed since the plan was made.
            if (now != null) {
                plans.add(now);
            }
        }
        return null;
    }

    /** Has a machine looked at again, after a plan for it was carried out. */
    void reconsider(Machine machine) {
        addPlan(machine);
    }

    private Plan plan(Machine machine) {
        Resources room = machine.freeCapacity();
        List<Allocation> victims = new ArrayList<>();
        double loss = 0;
        List<Allocation> candidates = machine.allocations().stream()
                .filter(booking -> booking.observed()
                        && !booking.stopping()
                        && job.spec().priority().above(booking.job().spec().priority()))
                .sorted(Comparator.comparingDouble((Allocation booking) -> lostWork(booking))
                        .thenComparing(Allocation::attempt))
                .toList();
        for (Allocation candidate : candidates) {
            if (job.spec().demand().fitsIn(room)) {
                break;
            }
            victims.add(candidate);
            room = room.plus(candidate.demand());
            loss += lostWork(candidate);
        }
        return !victims.isEmpty() && job.spec().demand().fitsIn(room) ? new Plan(machine, victims, loss) : null;
    }

    /** What is lost when the task is stopped at once: the run since its last checkpoint. */
    private double lostWork(Allocation booking) {
        double ran = booking.runtimeMs(now);
        double checkpoint = booking.job().spec().checkpointIntervalS() * 1000;
        return (checkpoint > 0 ? ran % checkpoint : ran) * booking.demand().cpus();
    }
}
