package io.quartzgw.agent;

import io.quartzgw.leadership.LeaderTerm;

/**
 * The token and the epoch by which an agent rejects a direct call that no longer applies.
 *
 * @param token the fencing token of a call, or the highest token that an agent has shown
 * @param epoch the agent epoch that a call is meant for, or the epoch of an agent
 */
record CommandFence(long token, long epoch) {
    /** Matches every epoch; used for calls whose epoch is unknown. */
    private static final long ANY_EPOCH = -1;

    /** Returns a fence that is accepted by every agent that may accept a call of a leader before the given term. */
    static CommandFence ofPreviousLeader(LeaderTerm term) {
        return new CommandFence(term.lowestToken() - 1, ANY_EPOCH);
    }

    /** Returns whether an agent with the given token and epoch executes a call with this fence. */
    boolean isAcceptedBy(CommandFence agent) {
        return token >= agent.token && (epoch == ANY_EPOCH || epoch == agent.epoch);
    }
}
