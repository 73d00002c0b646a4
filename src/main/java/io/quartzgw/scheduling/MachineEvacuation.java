package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;

/**
 * Stops tasks that cannot complete before their machine is removed, because the cloud reclaims it or because it is
 * being fenced, so that they start elsewhere without delay. Otherwise the leader would detect the removal of a
 * reclaimed machine only when it is missing from the cloud's delayed machine list.
 */
final class MachineEvacuation {
    private final SchedulingContext context;

    MachineEvacuation(SchedulingContext context) {
        this.context = context;
    }

    /** Stops the tasks that cannot complete on the machine, but at most one service replica, if it fits elsewhere. */
    void evacuate(Machine machine) {
        for (Allocation allocation : machine.allocationsSnapshot()) {
            JobSpec spec = allocation.job().spec();
            if (allocation.losesMachineBeforeCompletion(context.eventLoop().nowMs())
                    && (!spec.service() || isMovable(allocation))) {
                context.launcher().stop(allocation, spec.checkpointGraceS(), StopReason.MACHINE_RECLAIMED);
                if (spec.service()) {
                    // The next replica is checked in a later pass, when the new allocation of this one is visible.
                    return;
                }
            }
        }
    }

    // A replica with an outstanding start can't be started elsewhere while the machine exists.
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
