package io.quartzgw.agent;

import io.quartzgw.leadership.LeaderTerm;

/**
 * The token and the epoch by which an agent rejects a direct call that no longer applies.
 *
 * @param token of a call, its fencing token; of an agent, the highest token that it has shown
 * @param epoch of a call, the agent epoch that it is meant for; of an agent, its epoch
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
