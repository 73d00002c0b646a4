package io.quartzgw.store;

/** What the state service takes, from all nodes together. */
public record StoreLimits(double requestsPerS, double writesPerS, int maxValueBytes, int maxTransactionWrites) {
    /** The part of the limits that all nodes together allow themselves. */
    private static final double USED_FRACTION = 0.9;
    /** The part of an even share of changes that a node always has; the rest is granted by the leader. */
    private static final double GUARANTEED_FRACTION = 0.6;

    /** One node's own share of the limits. */
    public StoreLimits perNode(int nodes) {
        return new StoreLimits(
                requestsPerS * USED_FRACTION / nodes,
                writesPerS * USED_FRACTION * GUARANTEED_FRACTION / nodes,
                maxValueBytes,
                maxTransactionWrites);
    }

    /** How many changes a second all nodes' own shares leave, to be granted by the leader. */
    public double sharedWritesPerS() {
        return writesPerS * USED_FRACTION * (1 - GUARANTEED_FRACTION);
    }
}
