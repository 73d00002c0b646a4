package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;

/** The collaborators that all parts of one scheduler share. */
record SchedulingContext(
        EventLoop eventLoop,
        ClusterState cluster,
        SchedulingConstraints constraints,
        ServiceLevelObjectives objectives,
        BestFit bestFit,
        TaskLauncher launcher) {}
