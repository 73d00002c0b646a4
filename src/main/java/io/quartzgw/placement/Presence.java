package io.quartzgw.placement;

/**
 * What this leader has heard from a machine's worker, and what that proves.
 *
 * <p>Copies of reports may come late, by far more than a lease, and to a leader that knows no newer one. So a report is
 * current only when it shows this leader's token (it was made after this leader had reached the worker) and is newer
 * than all that was heard before. Anything else is only a sign that there may be a worker: it is answered, since it may
 * be genuine, but changes nothing in the cluster state.
 */
public final class Presence {

    /** What a message proves. */
    public enum Freshness {
        /** It is the newest word of a worker that this leader has reached. */
        CURRENT,
        /** It may be genuine, or a copy from before this leader's term. */
        UNVERIFIED,
        /** Something newer was heard: a copy, or a report that arrived late. */
        STALE
    }

    private long session;
    private long counter = -1;
    private long heardAt;
    private boolean verified;
    /** Sessions are counted from 1, and most workers never lose their first. */
    private long toldSession = 1;

    private boolean workerReplaced;
    private boolean unreachable;
    private long unreachableSince;
    private long answered = Long.MIN_VALUE;
    private long formerUntil;

    Presence(long now) {
        this.formerUntil = now;
    }

    /** The worker's session, as far as it was proved. */
    public long session() {
        return session;
    }

    /** The newest session that any message has named; an order has to name it. */
    public long toldSession() {
        return Math.max(session, toldSession);
    }

    /** The counter of the newest current report; negative when there was none. */
    public long counter() {
        return counter;
    }

    /**
     * Whether the worker has shown this leader's token: what it reports is so, and no former leader's order runs there.
     */
    public boolean verified() {
        return verified;
    }

    /** Whether a current report came no longer ago than this. */
    public boolean heardWithin(long ms, long now) {
        return verified && now - heardAt < ms;
    }

    /** Weighs a message; the direct answer to an order is never a copy. */
    public Freshness classify(long itsSession, long itsCounter, boolean showsToken, boolean direct) {
        if (!newer(itsSession, itsCounter, session, counter)) {
            return Freshness.STALE;
        }
        // Copies from the former worker of a machine that came back count higher than its new one.
        return showsToken && (direct || !workerReplaced) ? Freshness.CURRENT : Freshness.UNVERIFIED;
    }

    /** Whether one message of a worker was made after another one. */
    public static boolean newer(long itsSession, long itsCounter, long thanSession, long thanCounter) {
        return itsSession > thanSession || itsSession == thanSession && itsCounter > thanCounter;
    }

    /** Notes a current report. */
    public void heard(long itsSession, long itsCounter, long now) {
        session = itsSession;
        counter = itsCounter;
        heardAt = now;
        if (!verified) {
            // A former leader may have answered it until just now, but none can any more.
            verified = true;
            answered = Math.max(answered, now);
        }
    }

    /**
     * Notes that a report is answered with this leader's token. A stale one must not be: where it is genuine it would
     * renew a lease that this leader doesn't count. One that proves nothing has to be, or its worker would never show
     * the token; where it is a copy, room is held a little longer than it need be.
     */
    public void answered(long now) {
        answered = Math.max(answered, now);
    }

    /** When a report that was answered, by this leader or a former one, can last have been sent. */
    public long lastAnswered() {
        return verified ? answered : Math.max(answered, formerUntil);
    }

    /**
     * Bounds the moment when a former leader can last have answered; it holds until the worker shows this one's token.
     */
    public void formerAnswers(long until) {
        formerUntil = until;
    }

    /** A direct answer has named another session than it was sent to. */
    public void told(long itsSession) {
        toldSession = itsSession;
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
    public void lostTouch(long now) {
        if (!unreachable) {
            unreachable = true;
            unreachableSince = now;
        }
    }

    public void answersOrders() {
        unreachable = false;
    }

    /**
     * The worker has answered an order with an older message than what was known when the order was sent: it is another
     * worker, and what the former one ran is gone.
     */
    public void workerReplaced(long itsSession, long itsCounter) {
        workerReplaced = true;
        session = itsSession;
        toldSession = itsSession;
        counter = itsCounter - 1;
    }
}
