package io.quartzgw.leadership;

/**
 * The state of a controller when it sent a message.
 *
 * @param redirectedAgents the number of agents that it recently redirected and can reach
 * @param uptimeMs the time since the start of its process
 * @param ledTerm the term in which it leads; 0 if it does not lead
 * @param highestTerm the highest term that it has observed; it no longer answers agents in a lower term
 * @param storeReachable whether the state service responds to it
 * @param leaderUnresponsive whether the recorded leader has sent it no message for so long that it should be replaced
 */
record PeerStatus(
        int redirectedAgents,
        long uptimeMs,
        long ledTerm,
        long highestTerm,
        boolean storeReachable,
        boolean leaderUnresponsive) {}
