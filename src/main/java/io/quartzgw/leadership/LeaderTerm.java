package io.quartzgw.leadership;

/**
 * One term in which this node was elected. Whatever a leader starts and later continues has to ask first whether the
 * term still stands.
 */
public final class LeaderTerm {
    private final Leadership leadership;
    private final long number;
    private final long revision;

    /** Takes the term that this node leads with now. */
    public LeaderTerm(Leadership leadership) {
        this.leadership = leadership;
        this.number = leadership.term();
        this.revision = leadership.termRevision();
    }

    /** The term itself: workers drop orders with a lower one. */
    public long number() {
        return number;
    }

    /** Revision of the term key, which guards every write of this leader to the state service. */
    public long revision() {
        return revision;
    }

    /** Notes a token that a message has shown; a higher one ends this term. */
    public void sawToken(long token) {
        leadership.sawTerm(token);
    }

    /** Whether this node still leads with this term, as far as it knows. */
    public boolean current() {
        return leadership.leading() && leadership.term() == number;
    }

    /** Whether this node surely still holds this term: no other node can have been elected. */
    public boolean confirmed() {
        return current() && leadership.confirmed();
    }
}
