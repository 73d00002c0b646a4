package io.quartzgw.app;

import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.LeadershipTiming;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobStore;

/** The parts that every controller has, whether it leads or not, and on which a leader's parts are built. */
record ControllerServices(
        EventLoop eventLoop,
        Settings settings,
        Leadership leadership,
        LeadershipTiming leadershipTiming,
        PeerExchange peers,
        StoreClient store,
        JobStore jobs,
        CancellationRegistry cancellations,
        CancellationWatermark watermark,
        MachineCatalog catalog,
        CloudClient cloud) {}
