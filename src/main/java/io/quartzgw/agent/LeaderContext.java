package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.scheduling.ClusterState;

/**
 * The objects that all components of one leader share.
 *
 * @param eventLoop clock, timers, outbound calls and counters
 * @param term the term in which this controller leads
 * @param cluster the leader's view of jobs, machines and allocations
 * @param machineTypes the machine types that the cloud offers
 */
public record LeaderContext(EventLoop eventLoop, LeaderTerm term, ClusterState cluster, MachineTypes machineTypes) {}
