package io.quartzgw.agent;

import java.util.List;

/**
 * The body of a direct call to an agent. Without commands it only asks for a heartbeat.
 *
 * @param fence the token and the epoch of the agent that the commands are meant for
 * @param commands executed in this order
 */
record CommandRequest(CommandFence fence, List<AgentCommand> commands) {}
