package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;

/** The dependencies that the parts of one leader's fleet manager share. */
public record FleetContext(
        EventLoop eventLoop, CloudClient cloud, LeaderTerm term, ClusterState cluster, FleetManager.Policy policy) {}
