package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Finds the machines where stopping tasks of lower priority frees capacity for a job at the least loss of work. Each
 * machine is planned once for the job, not once for each of its pending tasks.
 */
final class Preemption {

    /**
     * The tasks to stop on a machine so that one more task fits there, and the CPU time that is lost by stopping them.
     */
    record Plan(Machine machine, List<Allocation> victims, double lostCpuMs) {}

    private final Job job;
    private final Predicate<Machine> allowed;
    private final Predicate<Allocation> relocatable;
    private final long now;
    private final PriorityQueue<Plan> plans = new PriorityQueue<>(Comparator.comparingDouble(Plan::lostCpuMs)
            .thenComparing(plan -> plan.machine().id()));

    /**
     * @param allowed whether the job may use a machine
     * @param relocatable whether a task could be started elsewhere once it is stopped
     */
    Preemption(
            Job job, List<Machine> machines, Predicate<Machine> allowed, Predicate<Allocation> relocatable, long now) {
        this.job = job;
        this.allowed = allowed;
        this.relocatable = relocatable;
        this.now = now;
        machines.forEach(this::addPlan);
    }

    private void addPlan(Machine machine) {
        Plan plan = machine.runsTaskBelow(job.spec().priority()) && allowed.test(machine) ? plan(machine) : null;
        if (plan != null) {
            plans.add(plan);
        }
    }

    /** Returns the plan that loses the least CPU time, or null if preemption frees enough capacity on no machine. */
    Plan nextPlan() {
        while (!plans.isEmpty()) {
            Plan cheapest = plans.poll();
            Plan current = allowed.test(cheapest.machine()) ? plan(cheapest.machine()) : null;
            if (current != null && current.victims().equals(cheapest.victims())) {
                return current;
            }
            // The machine has changed since the plan was made: the new plan may no longer be the cheapest.
            if (current != null) {
                plans.add(current);
            }
        }
        return null;
    }

    /** Makes a new plan for a machine after the previous one was executed. */
    void replan(Machine machine) {
        addPlan(machine);
    }

    private Plan plan(Machine machine) {
        Resources available = machine.freeCapacity();
        List<Allocation> victims = new ArrayList<>();
        double lostCpuMs = 0;
        List<Allocation> candidates = machine.allocations().stream()
                .filter(allocation -> allocation.observed()
                        && !allocation.stopping()
                        && relocatable.test(allocation)
                        && job.spec().priority().above(allocation.job().spec().priority()))
                .sorted(Comparator.comparingDouble((Allocation allocation) -> lostWork(allocation))
                        .thenComparing(Allocation::attempt))
                .toList();
        for (Allocation candidate : candidates) {
            if (job.spec().demand().fitsIn(available)) {
                break;
            }
            victims.add(candidate);
            available = available.plus(candidate.demand());
            lostCpuMs += lostWork(candidate);
        }
        return !victims.isEmpty() && job.spec().demand().fitsIn(available)
                ? new Plan(machine, victims, lostCpuMs)
                : null;
    }

    /** The CPU time since the task's last checkpoint, which is lost if the task is stopped immediately. */
    private double lostWork(Allocation allocation) {
        double runtimeMs = allocation.runtimeMs(now);
        double intervalMs = allocation.job().spec().checkpointIntervalS() * 1000;
        return (intervalMs > 0 ? runtimeMs % intervalMs : runtimeMs)
                * allocation.demand().cpus();
    }
}
