package io.quartzgw.agent;

import io.quartzgw.leadership.FencingTokens;

/**
 * The fencing token for one agent within this leader's term. It is raised after a direct call whose outcome is unknown.
 * Once the agent has shown the raised token, it rejects that call whenever the call arrives.
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

    /** Returns the token that is sent in messages to the agent. */
    long current() {
        return current;
    }

    /**
     * Returns the highest token that the current agent has shown in a heartbeat; it rejects calls with a lower token.
     */
    long shown() {
        return shown;
    }

    /** Returns whether the token was raised and the agent has not shown the current token yet. */
    boolean isRaisePending() {
        return raisedAtMs != NEVER_RAISED && shown < current;
    }

    /** Returns when the token was last raised; meaningful only if it was raised. */
    long raisedAtMs() {
        return raisedAtMs;
    }

    /** Returns whether the term has a higher token. Without one, a later unanswered call could not be fenced off. */
    boolean canBeRaised() {
        return current < highestOfTerm;
    }

    void raise(long nowMs) {
        if (!canBeRaised()) {
            throw new IllegalStateException("the term has no token above " + current);
        }
        current++;
        raisedAtMs = nowMs;
    }

    /**
     * Records a token that the agent has shown. A token above the current one was raised by this leader before it
     * dropped the machine's state and adopted the machine again. The current token is raised to match, since a message
     * with a lower token would not renew the agent's lease.
     */
    void recordShown(long token) {
        shown = Math.max(shown, token);
        current = Math.max(current, Math.min(token, highestOfTerm));
    }

    /** Handles a replacement agent on the same machine, which has seen no token. */
    void agentReplaced() {
        shown = 0;
    }
}
