package io.quartzgw.agent;

import io.quartzgw.leadership.LeaderTerm;

/**
 * What a direct call names so that an agent rejects it where it no longer applies; of an agent, the highest token that
 * it has seen and its epoch.
 *
 * @param token the fencing token
 * @param epoch the agent's epoch
 */
record CommandFence(long token, long epoch) {
    /** Stands for each epoch, where it is not known which one a call names. */
    private static final long ANY_EPOCH = -1;

    /** Returns a fence that is accepted wherever a call of a leader before a term may be. */
    static CommandFence ofPreviousLeader(LeaderTerm term) {
        return new CommandFence(term.lowestToken() - 1, ANY_EPOCH);
    }

    /** Returns whether an agent executes a call with this fence. */
    boolean isAcceptedBy(CommandFence agent) {
        return token >= agent.token && (epoch == ANY_EPOCH || epoch == agent.epoch);
    }
}
