package io.quartzgw.liveness;

/**
 * What this leader knows of the liveness of a machine's agent, and how fresh a heartbeat of it is.
 *
 * <p>Duplicates of heartbeats may be delayed by far more than a lease, and may reach a leader that has received no
 * newer heartbeat. So a heartbeat is current only if it shows this leader's token, which means that it was made after
 * this leader had reached the agent, and is newer than all heartbeats that were current before. Any other heartbeat
 * only suggests that there is an agent: it gets a response, since it may be genuine, but does not change the cluster
 * state.
 */
public final class AgentLiveness {

    /** How fresh a heartbeat is. */
    public enum Freshness {
        /** It is the newest heartbeat of an agent that this leader has reached. */
        CURRENT,
        /** It may be genuine, or a duplicate from before this leader's term. */
        UNVERIFIED,
        /** A newer heartbeat is known: this one is a duplicate or was delayed. */
        STALE
    }

    /** How a heartbeat has reached the leader. */
    public enum Origin {
        /** The agent sent it; it may be a duplicate that was delayed. */
        AGENT,
        /** It is the reply to a direct call, so it is not a duplicate. */
        DIRECT_CALL
    }

    /** The epoch with which agents begin; most of them never lose their lease, and stay in it. */
    private static final long FIRST_EPOCH = 1;

    /** Older than every heartbeat. */
    private static final HeartbeatId NO_HEARTBEAT = new HeartbeatId(0, -1);

    private HeartbeatId latestHeartbeat = NO_HEARTBEAT;
    private long lastHeartbeatAt;
    private boolean verified;
    private long latestObservedEpoch = FIRST_EPOCH;
    private boolean agentReplaced;
    private boolean unreachable;
    private long unreachableSince;
    private long lastResponseAt = Long.MIN_VALUE;
    private long previousLeaderActiveUntil;

    /** @param now the current time in milliseconds of the steady clock, as all times of this class */
    public AgentLiveness(long now) {
        this.previousLeaderActiveUntil = now;
    }

    // ---- heartbeats

    /** Returns the agent's epoch, as its current heartbeats have shown it. */
    public long epoch() {
        return latestHeartbeat.epoch();
    }

    /** Returns the newest epoch that a current heartbeat or a reply to a direct call has shown. */
    public long latestObservedEpoch() {
        return Math.max(epoch(), latestObservedEpoch);
    }

    /** Returns the newest current heartbeat, or one that is older than all others if there was none. */
    public HeartbeatId latestHeartbeat() {
        return latestHeartbeat;
    }

    /**
     * Returns whether the agent has sent a current heartbeat to this leader. Then its task list is reliable, and the
     * agent rejects the commands of former leaders.
     */
    public boolean verified() {
        return verified;
    }

    /** Returns whether a current heartbeat was received within the last so many milliseconds. */
    public boolean heartbeatWithin(long durationMs, long now) {
        return verified && now - lastHeartbeatAt < durationMs;
    }

    /**
     * Classifies a heartbeat.
     *
     * @param showsToken whether the heartbeat shows the token of this leader
     */
    public Freshness classify(HeartbeatId heartbeat, boolean showsToken, Origin origin) {
        if (!heartbeat.isNewerThan(latestHeartbeat)) {
            return Freshness.STALE;
        }
        // Duplicates from the former agent of a restarted machine may have higher sequences than the new agent.
        boolean mayBeDuplicate = agentReplaced && origin == Origin.AGENT;
        return showsToken && !mayBeDuplicate ? Freshness.CURRENT : Freshness.UNVERIFIED;
    }

    /** Records a current heartbeat. */
    public void recordHeartbeat(HeartbeatId heartbeat, long now) {
        latestHeartbeat = heartbeat;
        lastHeartbeatAt = now;
        if (!verified) {
            // A former leader may have responded to the agent until now, but the agent rejects its token from now on.
            verified = true;
            recordResponse(now);
        }
    }

    /** Records that a reply to a direct call has shown an epoch. */
    public void observeEpoch(long observedEpoch) {
        latestObservedEpoch = observedEpoch;
    }

    /**
     * Records that a reply to a direct call has shown a new agent on the same machine: it is older than the heartbeats
     * that were known when the call was sent. The tasks of the former agent are gone.
     */
    public void agentReplaced(HeartbeatId reply) {
        agentReplaced = true;
        latestObservedEpoch = reply.epoch();
        // Just older than the reply, which is then classified as current.
        latestHeartbeat = new HeartbeatId(reply.epoch(), reply.sequence() - 1);
    }

    // ---- responses

    /**
     * Records that a heartbeat gets a response with this leader's token, which renews the agent's lease. Stale
     * heartbeats must not get one: a lease would be renewed that this leader does not count on. Unverified ones must,
     * or their agents would never show the token; if such a heartbeat is a duplicate, capacity is reserved for somewhat
     * longer than necessary.
     */
    public void recordResponse(long now) {
        lastResponseAt = Math.max(lastResponseAt, now);
    }

    /** Returns the latest time at which this leader or a former one can have renewed the agent's lease. */
    public long lastResponseAt() {
        return verified ? lastResponseAt : Math.max(lastResponseAt, previousLeaderActiveUntil);
    }

    /** Sets the latest time at which a former leader can have responded, which counts until the agent is verified. */
    public void boundPreviousLeader(long until) {
        previousLeaderActiveUntil = until;
    }

    // ---- reachability

    /** Returns whether a direct call had no reply, or the epoch has changed, and no call had a reply since. */
    public boolean unreachable() {
        return unreachable;
    }

    /** Returns when the agent became unreachable; meaningful only while it is. */
    public long unreachableSince() {
        return unreachableSince;
    }

    /** Records that the agent may not receive what is sent to it. */
    public void markUnreachable(long now) {
        if (!unreachable) {
            unreachable = true;
            unreachableSince = now;
        }
    }

    /** Records that the agent has replied to a direct call. */
    public void markReachable() {
        unreachable = false;
    }
}
