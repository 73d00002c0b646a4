package io.quartzgw.leadership;

/**
 * The state of a controller at the time of a message.
 *
 * @param redirectedAgents how many agents it has lately turned away from itself and can reach
 * @param uptimeMs how long its process has run
 * @param ledTerm the term that it leads with; 0 when it does not lead
 * @param highestTerm the highest term that it has observed; it answers agents with none below
 * @param storeReachable whether the state store answers it
 * @param leaderUnresponsive whether it has not heard the recorded leader for so long that it should be replaced
 */
record PeerStatus(
        int redirectedAgents,
        long uptimeMs,
        long ledTerm,
        long highestTerm,
        boolean storeReachable,
        boolean leaderUnresponsive) {}
