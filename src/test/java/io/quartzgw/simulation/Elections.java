package io.quartzgw.simulation;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.ControllerIdentity;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.LeadershipTiming;
import io.quartzgw.store.StoreClient;
import java.util.List;
import java.util.function.LongConsumer;

/** Elects a controller without peers as the leader, for tests of functions that only a leader carries out. */
public final class Elections {
    private static final int STEP_MS = 50;
    private static final double HEARTBEAT_S = 2.5;
    private static final double LEASE_S = 16;
    private static final double CANCEL_S = 36;

    private Elections() {}

    /** Creates a candidate without peers, with process ID 1. */
    public static Leadership candidate(EventLoop eventLoop, StoreClient store) {
        return new Leadership(
                eventLoop,
                store,
                LeadershipTiming.of(HEARTBEAT_S, LEASE_S, CANCEL_S),
                new ControllerIdentity("rig-0", 1),
                new CancellationWatermark(eventLoop, (long) (CANCEL_S * 1_000), List.of()));
    }

    /**
     * Advances time until the candidate leads.
     *
     * @param advance advances time by a number of milliseconds
     */
    public static void elect(Leadership leadership, LongConsumer advance) {
        leadership.start(new Leadership.Listener() {
            @Override
            public void elected(long term, long termRevision) {}

            @Override
            public void leadershipLost() {}
        });
        while (!leadership.isLeading()) {
            advance.accept(STEP_MS);
        }
    }
}
