package io.quartzgw.agent;

import java.util.List;

/**
 * The body of a direct call to an agent. Without commands it only asks for a heartbeat.
 *
 * @param fencingToken the leader's token; an agent rejects a token lower than the highest it has seen
 * @param epoch the agent epoch that the commands are meant for; an agent rejects any other
 * @param commands executed in this order
 */
record CommandRequest(long fencingToken, long epoch, List<AgentCommand> commands) {}
