package io.quartzgw.model;

/**
 * A team's quota. A limit of 0 means unlimited; a guarantee of 0 means that nothing is guaranteed.
 *
 * @param guaranteedCpus CPUs up to which the team's jobs are scheduled before others of the same priority
 * @param maxCpus maximum CPUs of all tasks of the team together
 * @param guaranteedGpus as for CPUs
 * @param maxGpus as for CPUs
 */
public record TeamQuota(String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {
    /** Tolerance for rounding errors in sums of decimal amounts. */
    private static final double EPSILON = 1e-6;

    /** Whether the usage is within the limit. */
    public boolean withinLimit(Resources usage) {
        return within(usage.cpus(), maxCpus) && within(usage.gpus(), maxGpus);
    }

    /** Whether the usage is within the guarantee. Any usage of a resource without a guarantee is outside it. */
    public boolean withinGuarantee(Resources usage) {
        return usage.cpus() <= guaranteedCpus + EPSILON && usage.gpus() <= guaranteedGpus + EPSILON;
    }

    private static boolean within(double usage, double limit) {
        return limit == 0 || usage <= limit + EPSILON;
    }

    /**
     * The number of further tasks that the limit allows, determined by binary search, since arrays have up to 100,000
     * tasks and this is called in each scheduling pass.
     *
     * @param usage the team's current usage
     * @param demand the resources that each task needs
     * @param maxCount the upper bound of the result
     */
    public int tasksWithinLimit(Resources usage, Resources demand, int maxCount) {
        int fits = 0;
        int tooMany = maxCount + 1;
        while (tooMany - fits > 1) {
            int middle = (fits + tooMany) / 2;
            if (withinLimit(usage.plus(demand.times(middle)))) {
                fits = middle;
            } else {
                tooMany = middle;
            }
        }
        return fits;
    }
}
