package io.quartzgw.leadership;

/** The newest status of one peer that is known to be of its present process. */
final class PeerState {
    private long process;
    private long lastReceivedAtMs;
    /** The number of the process's newest message. */
    private long lastStatusSequence;
    /** The number of its newest message that had job counts. */
    private long lastCountsSequence;

    private boolean storeReachable;
    private boolean leaderUnresponsive;
    private int redirectedAgents;
    private long acknowledgedTerm;

    /**
     * Records that the peer has answered as a process: the messages of another one are numbered from the first again.
     */
    void observeProcess(long answeringProcess) {
        if (process != answeringProcess) {
            process = answeringProcess;
            lastStatusSequence = 0;
            lastCountsSequence = 0;
        }
    }

    boolean isProcess(long otherProcess) {
        return process == otherProcess;
    }

    /** Applies a message's status, unless a newer message was applied before. */
    void applyStatus(PeerMessage message, long nowMs) {
        if (message.sequence() <= lastStatusSequence) {
            return;
        }
        PeerStatus status = message.status();
        lastStatusSequence = message.sequence();
        lastReceivedAtMs = nowMs;
        redirectedAgents = status.redirectedAgents();
        storeReachable = status.storeReachable();
        leaderUnresponsive = status.leaderUnresponsive();
        acknowledgedTerm = Math.max(acknowledgedTerm, status.highestTerm());
    }

    /**
     * Whether the job counts of a message are the newest. They are numbered apart from the status, since answers have
     * none: an answer that overtakes the leader's message must not make its counts look old, or two controllers whose
     * heartbeats coincide would never receive any.
     */
    boolean acceptCounts(PeerMessage message) {
        if (message.sequence() <= lastCountsSequence) {
            return false;
        }
        lastCountsSequence = message.sequence();
        return true;
    }

    long lastReceivedAtMs() {
        return lastReceivedAtMs;
    }

    boolean storeReachable() {
        return storeReachable;
    }

    /** Whether the peer has not heard the leader for long, and knows of no other term than this one. */
    boolean reportsLeaderUnresponsive(long term) {
        return leaderUnresponsive && acknowledgedTerm == term;
    }

    int redirectedAgents() {
        return redirectedAgents;
    }

    /** The highest term that the peer has observed, and so no longer answers agents below. */
    long acknowledgedTerm() {
        return acknowledgedTerm;
    }
}
