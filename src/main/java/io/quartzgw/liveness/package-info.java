/**
 * The liveness of agents.
 *
 * <p>Duty: {@link io.quartzgw.liveness.AgentLiveness} classifies heartbeats by freshness and knows when an agent's
 * lease can last have been renewed and whether the agent is reachable; {@link io.quartzgw.liveness.AgentTiming} holds
 * the agents' timing.
 *
 * <p>State: epoch, sequence and times of one agent, owned by the machine that the agent runs on. The package knows
 * nothing of tasks or commands.
 *
 * <p>Callers: agent and recovery change the state; scheduling, fleet and the leader read it.
 */
package io.quartzgw.liveness;
