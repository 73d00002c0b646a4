package io.quartzgw.leadership;

/**
 * One term in which this node was elected. Whatever a leader starts and later continues has to ask first whether the
 * term still stands.
 */
public final class LeaderTerm {
    private final Leadership leadership;
    private final long fencingToken;
    private final long termRevision;

    /** Takes the term that this node leads with now. */
    public LeaderTerm(Leadership leadership) {
        this.leadership = leadership;
        this.fencingToken = leadership.term();
        this.termRevision = leadership.termRevision();
    }

    /** The term itself: workers drop orders with a lower one. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Revision of the term key, which guards every write of this leader to the state service. */
    public long termRevision() {
        return termRevision;
    }

    /** Notes a token that a message has shown; a higher one ends this term. */
    public void observeToken(long token) {
        leadership.observeTerm(token);
    }

    /** Whether this node still leads with this term, as far as it knows. */
    public boolean isCurrent() {
        return leadership.leading() && leadership.term() == fencingToken;
    }

    /** Whether this node surely still holds this term: no other node can have been elected. */
    public boolean isConfirmed() {
        return isCurrent() && leadership.isConfirmed();
    }
}
