package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;

/** The collaborators shared by the classes of one scheduler. */
record SchedulingContext(
        EventLoop eventLoop,
        ClusterState cluster,
        SchedulingConstraints constraints,
        ServiceLevelObjectives objectives,
        BestFit bestFit,
        TaskLauncher launcher) {}
