package io.quartzgw.app;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.cancellation.Cancellations;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.Peers;
import io.quartzgw.loop.Kernel;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobStore;

/** What every controller has, whether it leads or not, and a leader builds on. */
record ControllerServices(
        Kernel kernel,
        Settings settings,
        Leadership leadership,
        Peers peers,
        StoreClient store,
        JobStore jobs,
        Cancellations cancellations,
        CancellationWatermark watermark,
        MachineTypes types,
        CloudClient cloud) {}
