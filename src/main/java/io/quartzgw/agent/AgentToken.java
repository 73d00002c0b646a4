package io.quartzgw.agent;

import io.quartzgw.leadership.FencingTokens;

/**
 * The fencing token of one agent within this leader's term. It is raised after a call whose outcome is not known; once
 * the agent has shown the raised token, it rejects that call, however late the call arrives.
 */
final class AgentToken {
    private static final long NEVER_RAISED = -1;

    private final long highestOfTerm;
    private long current;
    private long shown;
    private long raisedAtMs = NEVER_RAISED;

    AgentToken(long term) {
        this.highestOfTerm = term;
        this.current = FencingTokens.lowestOf(term);
    }

    /** Returns the token that messages to the agent carry. */
    long current() {
        return current;
    }

    /** Returns the highest token that the present agent has shown; it rejects calls with a lower one. */
    long shown() {
        return shown;
    }

    /** Returns whether the agent has yet to show the current token, after it was raised. */
    boolean isRaisePending() {
        return raisedAtMs != NEVER_RAISED && shown < current;
    }

    /** Returns when the token was raised last; meaningful only after it was raised. */
    long raisedAtMs() {
        return raisedAtMs;
    }

    /** Returns whether the term has a higher token: without one, a call can't be fenced off later. */
    boolean canBeRaised() {
        return current < highestOfTerm;
    }

    /** Raises the token. */
    void raise(long nowMs) {
        if (!canBeRaised()) {
            throw new IllegalStateException("the term has no token above " + current);
        }
        current++;
        raisedAtMs = nowMs;
    }

    /**
     * Records a token that the agent has shown. One above the current token was raised by this leader before it forgot
     * and found the machine again; a message with a lower one would not renew the agent's lease.
     */
    void recordShown(long token) {
        shown = Math.max(shown, token);
        current = Math.max(current, Math.min(token, highestOfTerm));
    }

    /** Handles a new agent on the same machine: it has seen no token. */
    void agentReplaced() {
        shown = 0;
    }
}
