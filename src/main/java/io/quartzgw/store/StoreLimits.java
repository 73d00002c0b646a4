package io.quartzgw.store;

/** The limits of the state service, for all controllers together or for one controller's share. */
public record StoreLimits(double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {
    /** The fraction of the limits that all controllers together may use. */
    private static final double USED_FRACTION = 0.9;
    /**
     * The fraction of an even share of the writes that is guaranteed to each controller; the leader grants the rest on
     * demand.
     */
    private static final double GUARANTEED_FRACTION = 0.6;

    /** The share of the limits that is guaranteed to one controller. */
    public StoreLimits perController(int controllers) {
        return new StoreLimits(
                requestsPerS * USED_FRACTION / controllers,
                writesPerS * USED_FRACTION * GUARANTEED_FRACTION / controllers,
                maxValueBytes,
                maxTransactionWrites);
    }

    /** The writes per second beyond all guaranteed shares, which the leader grants on demand. */
    public double sharedWritesPerS() {
        return writesPerS * USED_FRACTION * (1 - GUARANTEED_FRACTION);
    }
}
