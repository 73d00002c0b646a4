package io.quartzgw.store;

/** What the state service takes, from all nodes together. */
public record StoreLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {
    /** The part of the limits that all nodes together allow themselves. */
    private static final double USED = 0.9;
    /**
     * A follower's part of an even share: it accepts jobs and answers users, while the leader also records all work.
     */
    private static final double FOLLOWER = 2.0 / 3;

    /** The share of a node that does not surely lead. */
    public StoreLimits followerShare(int nodes) {
        return part(USED * FOLLOWER / nodes);
    }

    /** The share of the node that surely leads: all that the others leave, so that together they never exceed it. */
    public StoreLimits leaderShare(int nodes) {
        return part(USED - (nodes - 1) * USED * FOLLOWER / nodes);
    }

    private StoreLimits part(double part) {
        return new StoreLimits(requestsPerS * part, writesPerS * part, valueBytes, txnOps);
    }
}
