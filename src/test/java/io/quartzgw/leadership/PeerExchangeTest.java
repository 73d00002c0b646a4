package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerExchangeTest {
    private static final LeadershipTiming TIMING = LeadershipTiming.of(2.5, 16, 36);
    private static final ControllerIdentity IDENTITY = new ControllerIdentity("rig-0", 1);
    private static final StoreLimits LIMITS = new StoreLimits(10, 10, 8192, 16);

    private final EventLoop eventLoop = new EventLoop(1);
    private final StoreClient store = new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), LIMITS);
    private final CancellationWatermark watermark = new CancellationWatermark(eventLoop, 36_000, Set.of("rig-1"));
    private final Leadership leadership = new Leadership(eventLoop, store, TIMING, IDENTITY, watermark);
    private final PeerExchange exchange = new PeerExchange(
            eventLoop,
            TIMING,
            IDENTITY,
            Map.of("rig-1", new Endpoint("10.0.0.2", 8081)),
            new PeerExchange.Participants(
                    leadership,
                    store,
                    new CancellationRegistry(eventLoop, 36_000),
                    watermark,
                    new WriteBudgetExchange(eventLoop, leadership, store, LIMITS, TIMING, "rig-0", 2)));
    private final List<JsonNode> receivedCounts = new ArrayList<>();

    private static ObjectNode message(long process, long sequence) {
        return Json.object().put("member", "rig-1").put("process", process).put("sequence", sequence);
    }

    private void serve(ObjectNode message) {
        eventLoop.processBatch(
                List.of(new LoopEvent.RequestReceived(
                        new Request(1, ListenerKind.PEER, "POST", PeerExchange.PATH, "", Json.writeCbor(message)))),
                new ClockReading(2, 2));
    }

    // Guards against outdated job counts for users. If the heartbeats of two controllers coincide, each response of the
    // leader overtakes the message with the job counts that it sent just before.
    @Test
    void appliesJobCountsOvertakenByResponseAndIgnoresOlderOnes() {
        eventLoop.processBatch(List.of(), new ClockReading(1, 1));
        eventLoop.onRequest(exchange::serve);
        exchange.start(new PeerPayloads(maxJobs -> Optional.empty(), receivedCounts::add, notice -> {}));
        Effect.Send heartbeat = (Effect.Send)
                eventLoop.processBatch(List.of(), new ClockReading(1, 1)).get(0);
        eventLoop.processBatch(
                List.of(new LoopEvent.CallEnded(heartbeat.call(), new Reply(200, Json.writeCbor(message(7, 11))))),
                new ClockReading(2, 2));
        JsonNode newest = Json.object().set("j-1", Json.array().add(1).add(2));
        serve(message(7, 10).set("counts", newest));
        assertEquals(List.of(newest), receivedCounts);
        serve(message(7, 9).set("counts", Json.object()));
        assertEquals(List.of(newest), receivedCounts, "older counts from a delayed message are ignored");
        serve(message(6, 12).set("counts", Json.object()));
        assertEquals(List.of(newest), receivedCounts, "counts from a process that has not responded are ignored");
    }
}
