package io.quartzgw.agent;

import io.quartzgw.leadership.FencingTokens;
import java.util.Optional;

/**
 * The fencing token for one agent within this leader's term. Once the agent has received a raised token, it rejects all
 * direct calls that were sent with a lower one, whenever and however often they arrive.
 */
final class AgentToken {
    private final long lowestOfTerm;
    private final long highestOfTerm;
    private long current;
    private long shown;
    private Optional<Raise> lastRaise = Optional.empty();

    /** Why a token was raised. */
    enum RaiseReason {
        /** A direct call with starts had no response. */
        UNANSWERED_CALL,
        /** Attempts are to be removed that a direct call with the present token could start again. */
        REMOVAL,
        /** A direct call that the previous agent of the machine has executed could reach the present one. */
        AGENT_REPLACED
    }

    /** The last time at which the token was raised, in event loop time, and why. */
    record Raise(RaiseReason reason, long atMs) {}

    AgentToken(long term) {
        this.lowestOfTerm = FencingTokens.lowestOf(term);
        this.highestOfTerm = term;
        this.current = lowestOfTerm;
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
        return lastRaise.isPresent() && shown < current;
    }

    /** Returns when and why the token was last raised; empty if it never was. */
    Optional<Raise> lastRaise() {
        return lastRaise;
    }

    /** Returns how often the token can have been raised in this term so far. */
    long used() {
        return current - lowestOfTerm;
    }

    /** Returns whether the term has a higher token. Without one, a further direct call could not be fenced off. */
    boolean canBeRaised() {
        return current < highestOfTerm;
    }

    void raise(RaiseReason reason, long nowMs) {
        if (!canBeRaised()) {
            throw new IllegalStateException("the term has no token above " + current);
        }
        current++;
        lastRaise = Optional.of(new Raise(reason, nowMs));
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
