package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;

/**
 * Stops the tasks that cannot complete on a spot machine before the cloud reclaims it, so that they start elsewhere
 * now. That the machine is gone would otherwise only be known once the cloud's delayed machine list lacks it.
 */
final class ReclaimedMachineEvacuation {
    private final SchedulingContext context;

    ReclaimedMachineEvacuation(SchedulingContext context) {
        this.context = context;
    }

    /** Stops what cannot complete on the machine; of service replicas, at most one that fits on another machine. */
    void evacuate(Machine machine) {
        for (Allocation allocation : machine.allocationsSnapshot()) {
            JobSpec spec = allocation.job().spec();
            if (allocation.reclaimedBeforeEnd(context.eventLoop().nowMs())
                    && (!spec.service() || fitsElsewhere(allocation.job()))) {
                context.launcher().stop(allocation, spec.checkpointGraceS(), StopReason.MACHINE_RECLAIMED);
                if (spec.service()) {
                    // The next replica is checked again in a later pass, once this one has taken its new capacity.
                    return;
                }
            }
        }
    }

    private boolean fitsElsewhere(Job job) {
        SchedulingConstraints constraints = context.constraints();
        return context.cluster().machines().stream()
                .anyMatch(machine -> constraints.isSchedulable(machine)
                        && job.spec().demand().fitsIn(machine.freeCapacity())
                        && constraints.isAllowed(job, machine));
    }
}
