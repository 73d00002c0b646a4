/**
 * The leader's communication with the agents: heartbeats, commands, agent epochs and task attempts.
 *
 * <p>Responsibility: {@link io.quartzgw.agent.AgentManager} receives heartbeats, reconciles the allocations with the
 * tasks that agents report, and sends agents the commands to start, stop and remove attempts. Agent reports take
 * precedence over the leader's cluster state.
 *
 * <p>State: for each agent, the exited and orphaned attempts, the outstanding starts and the direct call in flight;
 * also the starts inherited from previous leaders. All state belongs to one term and is never stored.
 *
 * <p>Callers: the leader and its failover recovery, on the event loop's thread only.
 */
package io.quartzgw.agent;
