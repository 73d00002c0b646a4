/**
 * The liveness of agents.
 *
 * <p>{@link io.quartzgw.liveness.AgentLiveness} classifies heartbeats by freshness, and tracks when an agent's lease
 * may last have been renewed and whether the agent is reachable. {@link io.quartzgw.liveness.AgentTiming} contains the
 * agents' timing.
 *
 * <p>State: epoch, sequence and times of one agent, owned by the machine that the agent runs on. The package does not
 * depend on tasks or commands.
 *
 * <p>Callers: agent and recovery change the state; scheduling, fleet and the leader read it.
 */
package io.quartzgw.liveness;
