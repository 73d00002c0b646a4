package io.quartzgw.leadership;

/**
 * One term for which this controller was elected. Whatever a leader starts and continues later must first check that
 * the term is still current.
 */
public final class LeaderTerm {
    private final Leadership leadership;
    private final long number;
    private final long termRevision;

    /** Captures the term that this controller leads with now. */
    public LeaderTerm(Leadership leadership) {
        this.leadership = leadership;
        this.number = leadership.term();
        this.termRevision = leadership.termRevision();
    }

    /** The number of the term, which is also its highest fencing token. */
    public long number() {
        return number;
    }

    /** The lowest fencing token of the term: an agent that has shown it rejects the messages of former leaders. */
    public long lowestToken() {
        return FencingTokens.lowestOf(number);
    }

    /** The revision of the term key, which every write of this leader to the state store requires. */
    public long termRevision() {
        return termRevision;
    }

    /** Records a token that a message has shown; one above those of this term ends it. */
    public void observeToken(long token) {
        leadership.observeTerm(token);
    }

    /** Whether this controller still leads with this term, as far as it knows. */
    public boolean isCurrent() {
        return leadership.leading() && leadership.term() == number;
    }

    /** Until when this controller surely leads with this term, as of now. */
    public long confirmedUntilMs() {
        return isCurrent() ? leadership.confirmedUntilMs() : Long.MIN_VALUE;
    }

    /** Whether the term is confirmed for a short time only, since the state store does not renew the leader's lease. */
    public boolean isConfirmationEnding() {
        return isConfirmed() && leadership.isConfirmationEnding();
    }

    /** Whether this controller surely still leads with this term: no other controller can have been elected. */
    public boolean isConfirmed() {
        return isCurrent() && leadership.isConfirmed();
    }
}
