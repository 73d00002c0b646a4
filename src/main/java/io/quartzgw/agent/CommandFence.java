package io.quartzgw.agent;

/**
 * What a direct call names so that an agent rejects it where it no longer applies; of an agent, the highest token that
 * it has seen and its epoch.
 *
 * @param token the fencing token
 * @param epoch the agent's epoch
 */
record CommandFence(long token, long epoch) {

    /** Returns whether an agent executes a call with this fence. */
    boolean isAcceptedBy(CommandFence agent) {
        return token >= agent.token && epoch == agent.epoch;
    }
}
