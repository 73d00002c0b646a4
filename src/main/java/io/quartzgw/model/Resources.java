package io.quartzgw.model;

/** Amounts of CPUs, GPUs and memory. */
public record Resources(double cpus, double gpus, double memoryGb) {
    public static final Resources NONE = new Resources(0, 0, 0);
    /** Guards against sums of decimals that miss a whole number by a rounding error. */
    private static final double EPSILON = 1e-6;

    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
    }

    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
    }

    public Resources times(double factor) {
        return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
    }

    /** The lesser of each amount. */
    public Resources least(Resources other) {
        return new Resources(
                Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memoryGb, other.memoryGb));
    }

    public boolean fitsIn(Resources room) {
        return cpus <= room.cpus + EPSILON && gpus <= room.gpus + EPSILON && memoryGb <= room.memoryGb + EPSILON;
    }
}
