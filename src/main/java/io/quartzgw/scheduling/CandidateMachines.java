package io.quartzgw.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The machines that can run tasks of one job in a scheduling pass, grouped by how soon they can have its image. All
 * tasks of a job have the same demand, so a machine that can't run one of them can't run any other.
 */
final class CandidateMachines {
    private final SchedulingContext context;
    private final Job job;
    private final List<Machine> schedulable;
    private final boolean mayPreempt;
    private final Predicate<Machine> allowed;
    private final List<Machine> withImage = new ArrayList<>();
    /** Machines without the image that can fetch it in time for the start objective. */
    private final List<Machine> withFastFetch = new ArrayList<>();

    /** Machines that can't fetch the image in time for the start objective. */
    private final List<Machine> withSlowFetch = new ArrayList<>();

    /** Created on first use, since most jobs need no preemption. */
    private Preemption preemptionWithImage;

    /** Created on first use, since most jobs need no preemption. */
    private Preemption preemptionAnywhere;

    /**
     * @param schedulable all machines to which tasks may be allocated
     * @param withCapacity the schedulable machines that may have enough free capacity
     * @param mayPreempt whether the job may stop tasks of lower priority
     */
    CandidateMachines(
            SchedulingContext context,
            Job job,
            List<Machine> schedulable,
            List<Machine> withCapacity,
            boolean mayPreempt) {
        this.context = context;
        this.job = job;
        this.schedulable = schedulable;
        this.mayPreempt = mayPreempt;
        this.allowed = machine -> context.constraints().isAllowed(job, machine);
        for (Machine machine : withCapacity) {
            if (job.spec().demand().fitsIn(machine.freeCapacity()) && allowed.test(machine)) {
                groupOf(machine).add(machine);
            }
        }
    }

    private List<Machine> groupOf(Machine machine) {
        double fetchS = machine.imageFetchS(job.spec().image(), job.spec().imageGb(), nowMs());
        if (fetchS == 0) {
            return withImage;
        }
        return context.objectives().meetsStartObjective(job, fetchS) ? withFastFetch : withSlowFetch;
    }

    /** Allocates and starts the next pending task; returns whether a machine was found for it. */
    boolean scheduleNextTask() {
        return allocateFrom(withImage)
                || allocateFrom(withFastFetch)
                || (mayPreempt && preemptWithImage())
                || allocateFrom(withSlowFetch)
                || (mayPreempt && preemptAnywhere());
    }

    private boolean allocateFrom(List<Machine> candidates) {
        Machine machine = context.bestFit().chooseMachine(job, candidates, allowed, nowMs());
        if (machine == null) {
            return false;
        }
        allocateNextTask(machine);
        return true;
    }

    private boolean preemptWithImage() {
        if (preemptionWithImage == null) {
            preemptionWithImage =
                    newPreemption(machine -> machine.hasImage(job.spec().image()) && allowed.test(machine));
        }
        return preempt(preemptionWithImage);
    }

    private boolean preemptAnywhere() {
        if (preemptionAnywhere == null) {
            preemptionAnywhere = newPreemption(allowed);
        }
        return preempt(preemptionAnywhere);
    }

    private Preemption newPreemption(Predicate<Machine> usable) {
        return new Preemption(job, schedulable, usable, context.launcher()::isRelocatable, nowMs());
    }

    private boolean preempt(Preemption preemption) {
        Preemption.Plan plan = preemption.nextPlan();
        if (plan == null) {
            return false;
        }
        // Agents execute commands in order, so the stops free the capacity that the start needs.
        plan.victims().forEach(victim -> context.launcher().stop(victim, 0, StopReason.PREEMPTED));
        allocateNextTask(plan.machine());
        preemption.replan(plan.machine());
        return true;
    }

    private void allocateNextTask(Machine machine) {
        long attempt = context.cluster().nextAttempt();
        context.launcher().start(context.cluster().allocate(job, job.nextPending(), machine, attempt));
    }

    private long nowMs() {
        return context.eventLoop().nowMs();
    }
}
