package io.quartzgw.store;

/** The limits of the state store: for all controllers together, or one controller's share of them. */
public record StoreLimits(double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {
    /** The fraction of the limits that all controllers together allow themselves. */
    private static final double USED_FRACTION = 0.9;
    /** The fraction of an even share of writes that a controller always has; the leader grants the rest. */
    private static final double GUARANTEED_FRACTION = 0.6;

    /** One controller's own share of the limits. */
    public StoreLimits perController(int controllers) {
        return new StoreLimits(
                requestsPerS * USED_FRACTION / controllers,
                writesPerS * USED_FRACTION * GUARANTEED_FRACTION / controllers,
                maxValueBytes,
                maxTransactionWrites);
    }

    /** How many writes a second are left beside all controllers' own shares, for the leader to grant. */
    public double sharedWritesPerS() {
        return writesPerS * USED_FRACTION * (1 - GUARANTEED_FRACTION);
    }
}
