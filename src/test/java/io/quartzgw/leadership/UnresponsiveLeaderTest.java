package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.simulation.LossyLink;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests a controller that receives no messages from the recorded leader, after the leader of the previous term was
 * deposed.
 */
class UnresponsiveLeaderTest {
    private static final LeadershipTiming TIMING = LeadershipTiming.of(2.5, 16, 36);
    private static final Endpoint STORE = new Endpoint("10.2.0.1", 1);
    private static final int LEADER_LEASE_MS = 600_000;
    private static final LeaderRecord LEADER = new LeaderRecord("rig-1", 9, 5, 1);

    private final EventLoop eventLoop = new EventLoop(1);
    private final SimulatedStore storeServer = new SimulatedStore();
    private final LossyLink link = new LossyLink(eventLoop, storeServer, new SplittableRandom(1));
    private final StoreClient store = new StoreClient(eventLoop, STORE, new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = new Leadership(
            eventLoop,
            store,
            TIMING,
            new ControllerIdentity("rig-0", 1),
            new CancellationWatermark(eventLoop, 36_000, List.of()));
    private final UnresponsiveLeaderDetector detector = new UnresponsiveLeaderDetector(
            eventLoop, leadership, new PeerRegistry(eventLoop, TIMING.leaseMs()), TIMING);

    @BeforeEach
    void recordLeaderAndDeposition() {
        post("/holds", "{\"life_ms\":" + LEADER_LEASE_MS + "}");
        post(
                "/multi",
                "{\"guards\":[],\"apply\":[{\"write\":\"lead/leader\",\"permit\":1,\"data\":"
                        + "{\"member\":\"rig-1\",\"process\":9,\"term\":5,\"hold\":1}},"
                        + "{\"write\":\"lead/term\",\"data\":{\"term\":5}},"
                        + "{\"write\":\"lead/deposed\",\"data\":{\"term\":4}}]}");
        leadership.start(new Leadership.Listener() {
            @Override
            public void elected(long term, long termRevision) {}

            @Override
            public void leadershipLost() {}
        });
        link.advance(1, false);
    }

    private void post(String path, String body) {
        Call call = Call.post(STORE, path, Json.readOrNull(body.getBytes(StandardCharsets.UTF_8)), 1);
        storeServer.handle(call, 0, reply -> assertEquals(200, reply.status()));
    }

    private void checkPeriodicallyFor(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TIMING.heartbeatMs()) {
            link.advance(TIMING.heartbeatMs(), false);
            detector.check();
        }
    }

    @Test
    void reportsLeaderUnresponsiveAfterOneAndAHalfLeases() {
        detector.check();
        checkPeriodicallyFor(TIMING.leaseMs());
        assertFalse(detector.isLeaderUnresponsive());
        checkPeriodicallyFor(TIMING.leaseMs());
        assertTrue(detector.isLeaderUnresponsive());
    }

    @Test
    void restartsObservationAfterControllerPause() {
        detector.check();
        checkPeriodicallyFor(TIMING.leaseMs());
        link.advance(10 * TIMING.leaseMs(), false);
        detector.check();
        assertFalse(detector.isLeaderUnresponsive(), "no message could be received during the pause");
        checkPeriodicallyFor(2 * TIMING.leaseMs());
        assertTrue(detector.isLeaderUnresponsive());
    }

    // Guards against the deposition of a newly elected leader that agents and controllers have not contacted yet.
    @Test
    void doesNotDeposeNextLeaderDuringCooldown() {
        leadership.deposeUnresponsiveLeader();
        link.advance(TIMING.heartbeatMs(), false);
        assertEquals("{\"term\":4}", storeServer.value(Leadership.DEPOSED_KEY).toString());
        link.advance(6 * TIMING.leaseMs(), false);
        assertEquals(LEADER, leadership.leaderRecord().orElseThrow());
        leadership.deposeUnresponsiveLeader();
        link.advance(1, false);
        assertEquals("{\"term\":5}", storeServer.value(Leadership.DEPOSED_KEY).toString());
        assertNull(storeServer.value(Leadership.LEADER_KEY), "the leader's lease is revoked");
    }
}
