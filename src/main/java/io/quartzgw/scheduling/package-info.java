/**
 * Allocates tasks of open jobs to machines: queue order, quotas, sampled best fit, preemption, gangs, consolidation.
 *
 * <p>State: {@link io.quartzgw.scheduling.ClusterState} holds the leader's jobs, machines and allocations. It is never
 * stored. A new leader rebuilds it from the agents' heartbeats and the stored records of jobs and machines.
 *
 * <p>Callers: agent, fleet, recovery, progress and app. All calls are made on the event loop.
 */
package io.quartzgw.scheduling;
