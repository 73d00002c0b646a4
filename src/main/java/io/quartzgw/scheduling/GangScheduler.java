package io.quartzgw.scheduling;

import java.util.ArrayList;
import java.util.List;

/** Schedules all members of a gang or none, since members that wait for others would only occupy capacity. */
final class GangScheduler {
    private final SchedulingContext context;

    GangScheduler(SchedulingContext context) {
        this.context = context;
    }

    /** Stops the remaining members of a gang that has lost one, so that it restarts as a whole. */
    void stopRemainingMembers(Job gang) {
        gang.allocationsSnapshot().stream()
                .filter(allocation -> !allocation.stopping())
                .forEach(allocation ->
                        context.launcher().stop(allocation, gang.spec().checkpointGraceS(), StopReason.GANG_BROKEN));
    }

    /**
     * Allocates and starts all members of a gang, unless free capacity or quota is insufficient for one of them.
     *
     * @return the number of members that were not allocated only because free capacity was lacking
     */
    int schedule(Job gang, List<Machine> machines) {
        if (gang.possiblyRunningCount() > 0 || !context.constraints().gangWithinQuota(gang)) {
            return 0;
        }
        int members = gang.pending().cardinality();
        List<Allocation> allocations = new ArrayList<>();
        List<Machine> candidates = new ArrayList<>(machines);
        // All members share one attempt number.
        long attempt = context.cluster().nextAttempt();
        while (gang.nextPending() >= 0) {
            Machine machine = chooseMachine(gang, candidates);
            if (machine == null) {
                allocations.forEach(context.cluster()::release);
                return members;
            }
            allocations.add(context.cluster().allocate(gang, gang.nextPending(), machine, attempt));
        }
        allocations.forEach(context.launcher()::start);
        return 0;
    }

    private Machine chooseMachine(Job gang, List<Machine> candidates) {
        SchedulingConstraints constraints = context.constraints();
        return context.bestFit()
                .chooseMachine(
                        gang,
                        candidates,
                        machine -> constraints.isAllowed(gang, machine),
                        context.eventLoop().nowMs());
    }
}
