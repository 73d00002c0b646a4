/**
 * Allocates the tasks of open jobs to machines: queue order, quotas, sampled best fit, preemption, gangs,
 * consolidation.
 *
 * <p>State owned: {@link io.quartzgw.scheduling.ClusterState}, the leader's jobs, machines and allocations. It is never
 * stored; a new leader rebuilds it from the agents' heartbeats and the records of jobs and machines.
 *
 * <p>Called on the event loop only, by the packages that make up a leader: agent, fleet, recovery, progress and app.
 */
package io.quartzgw.scheduling;
