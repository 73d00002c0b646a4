package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;

/** The collaborators that all parts of the fleet manager of one leader share. */
public record FleetContext(
        EventLoop eventLoop, CloudClient cloud, LeaderTerm term, ClusterState cluster, FleetManager.Policy policy) {}
