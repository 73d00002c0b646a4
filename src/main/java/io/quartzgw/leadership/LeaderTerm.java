package io.quartzgw.leadership;

/**
 * A term for which this controller was elected. Asynchronous work of a leader must check that the term is still current
 * before it continues.
 */
public final class LeaderTerm {
    private final Leadership leadership;
    private final long number;
    private final long termRevision;

    /** Captures the term in which this controller currently leads. */
    public LeaderTerm(Leadership leadership) {
        this.leadership = leadership;
        this.number = leadership.term();
        this.termRevision = leadership.termRevision();
    }

    /** Returns the number of the term, which is also its highest fencing token. */
    public long number() {
        return number;
    }

    /** Returns the lowest fencing token of the term. An agent that received it rejects previous leaders' messages. */
    public long lowestToken() {
        return FencingTokens.lowestOf(number);
    }

    /** Returns the revision of the term key, which every write of this leader to the state service requires. */
    public long termRevision() {
        return termRevision;
    }

    /** Records a fencing token from a message. A token above those of this term ends the term. */
    public void observeToken(long token) {
        leadership.observeTerm(token);
    }

    /** Returns whether this controller still considers itself the leader in this term. */
    public boolean isCurrent() {
        return leadership.isLeading() && leadership.term() == number;
    }

    /** Returns the time until which this controller is confirmed in this term if its lease is not renewed again. */
    public long confirmedUntilMs() {
        return isCurrent() ? leadership.confirmedUntilMs() : Long.MIN_VALUE;
    }

    /** Returns whether the term is confirmed but will soon not be, since the lease is not being renewed. */
    public boolean isConfirmationEnding() {
        return isConfirmed() && leadership.isConfirmationEnding();
    }

    /** Returns whether this controller is confirmed in this term: no other controller can have been elected. */
    public boolean isConfirmed() {
        return isCurrent() && leadership.isConfirmed();
    }
}
