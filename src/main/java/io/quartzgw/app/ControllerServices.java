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

/** Components of every controller, leader or not, on which the leader's components are built. */
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
