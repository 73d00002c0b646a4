package io.quartzgw.store;

/** What the state service takes, from all nodes together. */
public record StoreLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {
    /** The part of the limits that all nodes together allow themselves. */
    private static final double USED = 0.9;
    /** The part of an even share of changes that a node always has; the rest is lent by the leader. */
    private static final double OWN = 0.6;

    /** One node's own share of the limits. */
    public StoreLimits share(int nodes) {
        return new StoreLimits(requestsPerS * USED / nodes, writesPerS * USED * OWN / nodes, valueBytes, txnOps);
    }

    /** How many changes a second all nodes' own shares leave, to be lent. */
    public double lentWritesPerS() {
        return writesPerS * USED * (1 - OWN);
    }
}
