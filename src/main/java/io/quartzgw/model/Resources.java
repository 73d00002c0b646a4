package io.quartzgw.model;

/** Amounts of CPUs, GPUs and memory: a demand, a capacity or a usage. */
public record Resources(double cpus, double gpus, double memoryGb) {
    /** Nothing of any resource. */
    public static final Resources NONE = new Resources(0, 0, 0);
    /** Tolerance for sums of decimals that miss a whole number by a rounding error. */
    private static final double EPSILON = 1e-6;

    /** The sum. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
    }

    /** The difference. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
    }

    /** Each amount times a factor. */
    public Resources times(double factor) {
        return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
    }

    /** The lesser of each amount. */
    public Resources least(Resources other) {
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
