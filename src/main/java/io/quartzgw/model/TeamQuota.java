package io.quartzgw.model;

/** A team's guarantee and limit; 0 means none. */
public record TeamQuota(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {
    private static final double EPSILON = 1e-6;

    public boolean withinLimit(Resources used) {
        return within(used.cpus(), maxCpus) && within(used.gpus(), maxGpus);
    }

    /** Whether so much lies inside the team's guarantee; a team without one has nothing inside it. */
    public boolean withinGuarantee(Resources used) {
        return used.cpus() <= guaranteedCpus + EPSILON && used.gpus() <= guaranteedGpus + EPSILON;
    }

    private static boolean within(double used, double limit) {
        return limit == 0 || used <= limit + EPSILON;
    }

    /**
     * How many more tasks fit the limit, up to a number. Halves the range at each step: arrays have up to 100,000
     * tasks, and this is asked at each pass.
     */
    public int tasksWithinLimit(Resources use, Resources demand, int most) {
        int fits = 0;
        int tooMany = most + 1;
        while (tooMany - fits > 1) {
            int middle = (fits + tooMany) / 2;
            if (withinLimit(use.plus(demand.times(middle)))) {
                fits = middle;
            } else {
                tooMany = middle;
            }
        }
        return fits;
    }
}
