package io.quartzgw.replication;

/** How far the replica of one follower has come, as its answers tell. */
final class FollowerProgress {
    /** Names no process, so that a follower applies nothing and answers with its own. */
    private static final long UNKNOWN_PROCESS = 0;

    private long process = UNKNOWN_PROCESS;
    private long version;
    private long caughtUpVersion;

    /** Returns the follower's process, which an update has to name. */
    long process() {
        return process;
    }

    /** Returns whether the follower has answered. */
    boolean isProcessKnown() {
        return process != UNKNOWN_PROCESS;
    }

    /** Returns the version that the next update continues. */
    long version() {
        return version;
    }

    /**
     * Returns the version of the last update with which the follower had the whole log. Between two of them its replica
     * lacks machines that have changed once more.
     */
    long caughtUpVersion() {
        return caughtUpVersion;
    }

    /** Handles the answer to an update. */
    void answered(ReplicaUpdate update, ReplicaStatus status) {
        if (status.process() != process) {
            process = status.process();
            caughtUpVersion = 0;
        }
        version = status.version();
        if (update.receiver() == process && update.complete() && version == update.toVersion()) {
            caughtUpVersion = version;
        }
    }
}
