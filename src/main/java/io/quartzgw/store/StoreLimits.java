package io.quartzgw.store;

/** What the state service takes, from all nodes together. */
public record StoreLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {
    /** The part of the limits that all nodes together allow themselves. */
    private static final double USED = 0.9;

    /** One node's even share of the limits. */
    public StoreLimits share(int nodes) {
        return new StoreLimits(requestsPerS * USED / nodes, writesPerS * USED / nodes, valueBytes, txnOps);
    }
}
