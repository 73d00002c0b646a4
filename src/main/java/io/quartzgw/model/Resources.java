package io.quartzgw.model;

/** Amounts of CPUs, GPUs and memory: a demand, a capacity or a usage. */
public record Resources(double cpus, double gpus, double memoryGb) {
    /** Nothing of any resource. */
    public static final Resources NONE = new Resources(0, 0, 0);
    /** Tolerance for rounding errors in sums of decimal amounts. */
    private static final double EPSILON = 1e-6;

    /** The larger amount of each resource. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cpus, other.cpus), Math.max(gpus, other.gpus), Math.max(memoryGb, other.memoryGb));
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
    }

    /** Returns the difference. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
    }

    /** Returns each amount multiplied by the factor. */
    public Resources times(double factor) {
        return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
    }

    /** Returns the smaller of the two amounts of each resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memoryGb, other.memoryGb));
    }

    /** Whether a demand of this size fits in the capacity. */
    public boolean fitsIn(Resources capacity) {
        return cpus <= capacity.cpus + EPSILON
                && gpus <= capacity.gpus + EPSILON
                && memoryGb <= capacity.memoryGb + EPSILON;
    }
}
