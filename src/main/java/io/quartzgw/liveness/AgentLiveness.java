package io.quartzgw.liveness;

/**
 * The liveness of a machine's agent as observed by this leader. Also classifies the agent's heartbeats by freshness.
 *
 * <p>Duplicates of heartbeats may be delayed by far more than a lease, and may reach a leader that has received no
 * newer heartbeat. So a heartbeat is current only if it meets two conditions: it contains this leader's token, which
 * shows that it was made after this leader had reached the agent, and it is newer than all previous current heartbeats.
 * Any other heartbeat that is not stale gets a response, since it may be genuine, but does not change the cluster
 * state.
 */
public final class AgentLiveness {

    /** How fresh a heartbeat is. */
    public enum Freshness {
        /** It is the newest heartbeat of an agent that this leader has reached. */
        CURRENT,
        /** It may be genuine, or a duplicate from before this leader's term or from a replaced agent. */
        UNVERIFIED,
        /** A newer heartbeat was received before: this one is a duplicate or was delayed. */
        STALE
    }

    /** How the leader received a heartbeat. */
    public enum Origin {
        /** The agent sent it as a request, which may be a delayed duplicate. */
        AGENT,
        /** It is the reply to a direct call, so it is not a duplicate. */
        DIRECT_CALL
    }

    /** The epoch in which an agent starts. Most agents never lose their lease, and stay in this epoch. */
    private static final long FIRST_EPOCH = 1;

    /** Sorts before every heartbeat. */
    private static final HeartbeatId NO_HEARTBEAT = new HeartbeatId(0, -1);

    private HeartbeatId latestHeartbeat = NO_HEARTBEAT;
    private long lastHeartbeatAt;
    private boolean verified;
    private long latestObservedEpoch = FIRST_EPOCH;
    private boolean hasReplacedAgent;
    private boolean unreachable;
    private long unreachableSince;
    private long lastResponseAt = Long.MIN_VALUE;
    private long previousLeaderActiveUntil;

    /** @param now the current time in milliseconds of the steady clock, like all times in this class */
    public AgentLiveness(long now) {
        this.previousLeaderActiveUntil = now;
    }

    // ---- heartbeats

    /** Returns the epoch of the agent's latest current heartbeat. */
    public long epoch() {
        return latestHeartbeat.epoch();
    }

    /** Returns the latest epoch that a current heartbeat or a reply to a direct call has reported. */
    public long latestObservedEpoch() {
        return Math.max(epoch(), latestObservedEpoch);
    }

    /** Returns the latest current heartbeat, or an ID that sorts before all others if there was none. */
    public HeartbeatId latestHeartbeat() {
        return latestHeartbeat;
    }

    /**
     * Returns whether this leader has received a current heartbeat of the agent. If so, its task list is reliable, and
     * the agent rejects the commands of previous leaders.
     */
    public boolean verified() {
        return verified;
    }

    /** Returns whether a current heartbeat was received within the given duration before now. */
    public boolean heartbeatWithin(long durationMs, long now) {
        return verified && now - lastHeartbeatAt < durationMs;
    }

    /**
     * Classifies a heartbeat.
     *
     * @param showsToken whether the heartbeat contains this leader's token
     */
    public Freshness classify(HeartbeatId heartbeat, boolean showsToken, Origin origin) {
        if (!heartbeat.isNewerThan(latestHeartbeat)) {
            return Freshness.STALE;
        }
        // After a reboot, duplicates from the machine's previous agent may have higher sequences than the new agent.
        boolean mayBeDuplicate = hasReplacedAgent && origin == Origin.AGENT;
        return showsToken && !mayBeDuplicate ? Freshness.CURRENT : Freshness.UNVERIFIED;
    }

    /** Records a current heartbeat. */
    public void recordHeartbeat(HeartbeatId heartbeat, long now) {
        latestHeartbeat = heartbeat;
        lastHeartbeatAt = now;
        if (!verified) {
            // A previous leader may have responded to the agent until now. From now on the agent rejects its token.
            verified = true;
            recordResponse(now);
        }
    }

    /** Records the epoch that a reply to a direct call has reported. */
    public void observeEpoch(long observedEpoch) {
        latestObservedEpoch = observedEpoch;
    }

    /**
     * Records that a reply to a direct call came from a new agent on the same machine: the reply is older than
     * heartbeats that had been received when the call was sent. The tasks of the previous agent have ended.
     */
    public void recordAgentReplacement(HeartbeatId reply) {
        hasReplacedAgent = true;
        latestObservedEpoch = reply.epoch();
        // One sequence before the reply, so that the reply is classified as current.
        latestHeartbeat = new HeartbeatId(reply.epoch(), reply.sequence() - 1);
    }

    // ---- responses

    /**
     * Records that a heartbeat gets a response with this leader's token, which renews the agent's lease. Stale
     * heartbeats must not get a response, because it would renew a lease that this leader does not take into account.
     * Unverified heartbeats must get one, because their agents would otherwise never receive the token. If such a
     * heartbeat is a duplicate, capacity is reserved somewhat longer than necessary.
     */
    public void recordResponse(long now) {
        lastResponseAt = Math.max(lastResponseAt, now);
    }

    /** Returns the latest time at which this or a previous leader may have renewed the agent's lease. */
    public long lastResponseAt() {
        return verified ? lastResponseAt : Math.max(lastResponseAt, previousLeaderActiveUntil);
    }

    /** Sets the latest time at which a previous leader may have responded. It applies until the agent is verified. */
    public void boundPreviousLeaderActivity(long until) {
        previousLeaderActiveUntil = until;
    }

    // ---- reachability

    /**
     * Returns whether a direct call was unanswered, or the epoch changed, and the agent has replied to no call since.
     */
    public boolean unreachable() {
        return unreachable;
    }

    /** Returns when the agent became unreachable; meaningful only while it is unreachable. */
    public long unreachableSince() {
        return unreachableSince;
    }

    /** Records that direct calls may not reach the agent. */
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
