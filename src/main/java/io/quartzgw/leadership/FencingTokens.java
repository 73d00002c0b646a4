package io.quartzgw.leadership;

/**
 * The fencing tokens of a term. An agent rejects every message with a token lower than the highest that it has seen.
 *
 * <p>Each term has a range of tokens, so that its leader can also fence off its own earlier messages to an agent: it
 * goes on with the next token of the range. The number of a term is its highest token. So a controller that takes each
 * token for a term never sees one above the leader's term, and a term that follows, by whatever step, is above all
 * tokens of the one before.
 */
public final class FencingTokens {
    /** How many tokens a term has. */
    public static final long PER_TERM = 4096;

    private FencingTokens() {}

    /** Returns the term that a candidate takes after the highest one that it knows. */
    static long termAfter(long highestTerm) {
        return highestTerm + PER_TERM;
    }

    /** Returns the lowest token of a term. */
    public static long lowestOf(long term) {
        return term - PER_TERM + 1;
    }
}
