package io.quartzgw.leadership;

/**
 * The fencing tokens of a term. An agent rejects messages with a token lower than the highest it has received.
 *
 * <p>Each term has a range of tokens, so that its leader can also fence off its own earlier messages to an agent by
 * using the next token of the range. The number of a term is its highest token. A controller can therefore treat each
 * token as a term, as versions without token ranges do: no token exceeds the leader's term, and the next term exceeds
 * all tokens of the previous one, whatever the increment.
 */
public final class FencingTokens {
    /** The number of tokens of a term. */
    public static final long PER_TERM = 4096;

    private FencingTokens() {}

    /** Returns the term for which a candidate stands, given the highest term that it has observed. */
    static long termAfter(long highestTerm) {
        return highestTerm + PER_TERM;
    }

    /** Returns the lowest token of a term. */
    public static long lowestOf(long term) {
        return term - PER_TERM + 1;
    }
}
