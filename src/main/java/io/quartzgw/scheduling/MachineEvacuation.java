package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;

/**
 * Stops the tasks that cannot complete on a machine before it is gone, because the cloud reclaims it or because it is
 * being fenced, so that they start elsewhere now. That a reclaimed machine is gone would otherwise only be known once
 * the cloud's delayed machine list lacks it.
 */
final class MachineEvacuation {
    private final SchedulingContext context;

    MachineEvacuation(SchedulingContext context) {
        this.context = context;
    }

    /** Stops what cannot complete on the machine; of service replicas, at most one that fits on another machine. */
    void evacuate(Machine machine) {
        for (Allocation allocation : machine.allocationsSnapshot()) {
            JobSpec spec = allocation.job().spec();
            if (allocation.losesMachineBeforeCompletion(context.eventLoop().nowMs())
                    && (!spec.service() || isMovable(allocation))) {
                context.launcher().stop(allocation, spec.checkpointGraceS(), StopReason.MACHINE_RECLAIMED);
                if (spec.service()) {
                    // The next replica is checked again in a later pass, once this one has taken its new capacity.
                    return;
                }
            }
        }
    }

    // A replica whose start is outstanding could not be started elsewhere while the machine exists.
    private boolean isMovable(Allocation replica) {
        return context.launcher().isRelocatable(replica) && fitsElsewhere(replica.job());
    }

    private boolean fitsElsewhere(Job job) {
        SchedulingConstraints constraints = context.constraints();
        return context.cluster().machines().stream()
                .anyMatch(machine -> constraints.isSchedulable(machine)
                        && job.spec().demand().fitsIn(machine.freeCapacity())
                        && constraints.isAllowed(job, machine));
    }
}
