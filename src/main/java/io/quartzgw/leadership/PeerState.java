package io.quartzgw.leadership;

/** The newest status of a peer that is known to come from its current process. */
final class PeerState {
    private long process;
    private long lastReceivedAtMs;
    /** The sequence number of the newest message applied from the process. */
    private long lastStatusSequence;
    /** The sequence number of the newest applied message with job counts. */
    private long lastCountsSequence;

    private boolean storeReachable;
    private boolean leaderUnresponsive;
    private int redirectedAgents;
    private long acknowledgedTerm;

    /**
     * Records which process of the peer has responded. The sequence numbers of another process start from one again.
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

    /** Applies the status of a message, unless a newer message has been applied. */
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
     * Returns whether the job counts of a message are the newest, and records their sequence number if they are. It is
     * tracked separately from that of the status, since responses carry no job counts. A response that overtakes an
     * earlier message of the leader must not make the counts of that message look outdated. Otherwise controllers whose
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

    /** Returns whether the peer reports the leader as unresponsive and this is the highest term it has observed. */
    boolean reportsLeaderUnresponsive(long term) {
        return leaderUnresponsive && acknowledgedTerm == term;
    }

    int redirectedAgents() {
        return redirectedAgents;
    }

    /** Returns the highest term that the peer has observed. It no longer answers agents in a lower term. */
    long acknowledgedTerm() {
        return acknowledgedTerm;
    }
}
