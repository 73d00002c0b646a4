package io.quartzgw.agent;

import java.util.List;

/**
 * The body of a direct call to an agent. Without commands, the call only requests a heartbeat.
 *
 * @param fence the fencing token, and the agent epoch that the commands are meant for
 * @param commands executed by the agent in this order
 */
record CommandRequest(CommandFence fence, List<AgentCommand> commands) {}
