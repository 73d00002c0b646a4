/**
 * The leader's side of its agents: heartbeats, commands, agent epochs and task attempts.
 *
 * <p>Duty: {@link io.quartzgw.agent.AgentManager} receives heartbeats, brings the allocations in line with the tasks
 * that agents report, and sends agents the commands to start, stop and remove attempts. What an agent reports takes
 * precedence over the leader's cluster state.
 *
 * <p>State: for each agent, the exited and orphaned attempts, the outstanding starts and the direct call in flight; the
 * starts inherited from former leaders. All of it belongs to one term and is never stored.
 *
 * <p>Callers: the leader and its failover recovery, on the event loop's thread only.
 */
package io.quartzgw.agent;
