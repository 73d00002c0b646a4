package io.quartzgw.liveness;

/**
 * What this leader has heard from a machine's worker, and what that proves.
 *
 * <p>Copies of reports may come late, by far more than a lease, and to a leader that knows no newer one. So a report is
 * current only when it shows this leader's token (it was made after this leader had reached the worker) and is newer
 * than all that was heard before. Anything else is only a sign that there may be a worker: it is answered, since it may
 * be genuine, but changes nothing in the cluster state.
 */
public final class AgentLiveness {

    /** What a message proves. */
    public enum Freshness {
        /** It is the newest word of a worker that this leader has reached. */
        CURRENT,
        /** It may be genuine, or a copy from before this leader's term. */
        UNVERIFIED,
        /** Something newer was heard: a copy, or a report that arrived late. */
        STALE
    }

    private long epoch;
    private long sequence = -1;
    private long lastHeartbeatAt;
    private boolean verified;
    /** Sessions are counted from 1, and most workers never lose their first. */
    private long latestObservedEpoch = 1;

    private boolean agentReplaced;
    private boolean unreachable;
    private long unreachableSince;
    private long lastResponseAt = Long.MIN_VALUE;
    private long previousLeaderActiveUntil;

    public AgentLiveness(long now) {
        this.previousLeaderActiveUntil = now;
    }

    /** The worker's session, as far as it was proved. */
    public long epoch() {
        return epoch;
    }

    /** The newest session that any message has named; an order has to name it. */
    public long latestObservedEpoch() {
        return Math.max(epoch, latestObservedEpoch);
    }

    /** The counter of the newest current report; negative when there was none. */
    public long sequence() {
        return sequence;
    }

    /**
     * Whether the worker has shown this leader's token: what it reports is so, and no former leader's order runs there.
     */
    public boolean verified() {
        return verified;
    }

    /** Whether a current report came no longer ago than this. */
    public boolean heartbeatWithin(long ms, long now) {
        return verified && now - lastHeartbeatAt < ms;
    }

    /** Weighs a message; the direct answer to an order is never a copy. */
    public Freshness classify(long heartbeatEpoch, long heartbeatSequence, boolean showsToken, boolean direct) {
        if (!isNewer(heartbeatEpoch, heartbeatSequence, epoch, sequence)) {
            return Freshness.STALE;
        }
        // Copies from the former worker of a machine that came back count higher than its new one.
        return showsToken && (direct || !agentReplaced) ? Freshness.CURRENT : Freshness.UNVERIFIED;
    }

    /** Whether one message of a worker was made after another one. */
    public static boolean isNewer(long epoch, long sequence, long otherEpoch, long otherSequence) {
        return epoch > otherEpoch || epoch == otherEpoch && sequence > otherSequence;
    }

    /** Notes a current report. */
    public void recordHeartbeat(long heartbeatEpoch, long heartbeatSequence, long now) {
        epoch = heartbeatEpoch;
        sequence = heartbeatSequence;
        lastHeartbeatAt = now;
        if (!verified) {
            // A former leader may have answered it until just now, but none can any more.
            verified = true;
            lastResponseAt = Math.max(lastResponseAt, now);
        }
    }

    /**
     * Notes that a report is answered with this leader's token. A stale one must not be: where it is genuine it would
     * renew a lease that this leader doesn't count. One that proves nothing has to be, or its worker would never show
     * the token; where it is a copy, room is held a little longer than it need be.
     */
    public void lastResponseAt(long now) {
        lastResponseAt = Math.max(lastResponseAt, now);
    }

    /** When a report that was answered, by this leader or a former one, can last have been sent. */
    public long lastResponseAt() {
        return verified ? lastResponseAt : Math.max(lastResponseAt, previousLeaderActiveUntil);
    }

    /**
     * Bounds the moment when a former leader can last have answered; it holds until the worker shows this one's token.
     */
    public void boundPreviousLeader(long until) {
        previousLeaderActiveUntil = until;
    }

    /** A direct answer has named another session than it was sent to. */
    public void observeEpoch(long observedEpoch) {
        latestObservedEpoch = observedEpoch;
    }

    // ---- orders

    /** Whether an order was left unanswered, or a lease ran out, and no order was answered since. */
    public boolean unreachable() {
        return unreachable;
    }

    public long unreachableSince() {
        return unreachableSince;
    }

    /** Notes that the machine may not receive what is sent to it. */
    public void markUnreachable(long now) {
        if (!unreachable) {
            unreachable = true;
            unreachableSince = now;
        }
    }

    public void markReachable() {
        unreachable = false;
    }

    /**
     * The worker has answered an order with an older message than what was known when the order was sent: it is another
     * worker, and what the former one ran is gone.
     */
    public void agentReplaced(long newEpoch, long newSequence) {
        agentReplaced = true;
        epoch = newEpoch;
        latestObservedEpoch = newEpoch;
        sequence = newSequence - 1;
    }
}
