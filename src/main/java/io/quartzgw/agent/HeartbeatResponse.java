package io.quartzgw.agent;

import java.util.List;
import java.util.OptionalLong;

/**
 * The response to a heartbeat.
 *
 * @param commands executed by the agent in this order
 * @param fencingToken the leader's token, which renews the agent's lease; an agent ignores a response without a token
 */
public record HeartbeatResponse(List<AgentCommand> commands, OptionalLong fencingToken) {

    /** Creates a response that renews the agent's lease. */
    static HeartbeatResponse renewingLease(List<AgentCommand> commands, long fencingToken) {
        return new HeartbeatResponse(commands, OptionalLong.of(fencingToken));
    }

    /** Returns whether the response contains a start, which only a confirmed leader may send. */
    public boolean startsTasks() {
        return !AgentCommand.startedAttempts(commands).isEmpty();
    }

    /** Creates a response that the agent ignores. */
    static HeartbeatResponse ignored() {
        return new HeartbeatResponse(List.of(), OptionalLong.empty());
    }
}
