package io.quartzgw.placement;

import io.quartzgw.submission.Resources;

/** A team's guarantee and limit; 0 means none. */
public record Team(String name, double cpus, double cpusLimit, double gpus, double gpusLimit) {
    private static final double EPSILON = 1e-6;

    public boolean withinLimit(Resources used) {
        return within(used.cpus(), cpusLimit) && within(used.gpus(), gpusLimit);
    }

    /** Whether so much lies inside the team's guarantee; a team without one has nothing inside it. */
    public boolean withinGuarantee(Resources used) {
        return used.cpus() <= cpus + EPSILON && used.gpus() <= gpus + EPSILON;
    }

    private static boolean within(double used, double limit) {
        return limit == 0 || used <= limit + EPSILON;
    }
}
