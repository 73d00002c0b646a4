package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
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
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerExchangeTest {
    private static final LeadershipTiming TIMES = LeadershipTiming.of(2.5, 16, 36);

    private final EventLoop eventLoop = new EventLoop(1);
    private final StoreClient store =
            new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), new StoreLimits(10, 10, 8192, 16));
    private final CancellationWatermark watermark = new CancellationWatermark(eventLoop, 36_000, Set.of("rig-1"));
    private final Leadership leadership = new Leadership(eventLoop, store, TIMES, "rig-0", 1, watermark);
    private final PeerExchange peers = new PeerExchange(
            eventLoop,
            leadership,
            store,
            TIMES,
            "rig-0",
            1,
            Map.of("rig-1", new Endpoint("10.0.0.2", 8081)),
            new CancellationRegistry(eventLoop, 36_000),
            watermark,
            new WriteBudgetExchange(
                    eventLoop, leadership, store, new StoreLimits(10, 10, 8192, 16), TIMES, "rig-0", 2));
    private final List<JsonNode> told = new ArrayList<>();

    private static ObjectNode message(long process, long sequence) {
        return Json.object().put("member", "rig-1").put("process", process).put("sequence", sequence);
    }

    private void serve(ObjectNode message) {
        eventLoop.processBatch(
                List.of(new Command.Arrived(
                        new Request(1, ListenerKind.PEER, "POST", PeerExchange.PATH, "", Json.writeCbor(message)))),
                new ClockReading(2, 2));
    }

    // Guards the counts that users see: where two controllers beat in step, each answer of the leader overtakes
    // the message that it sent just before, with the counts.
    @Test
    void countsAreTakenThoughAnAnswerOvertookThemAndNeverOlderOnes() {
        eventLoop.processBatch(List.of(), new ClockReading(1, 1));
        eventLoop.onRequest(peers::serve);
        peers.start(most -> null, told::add, notice -> {});
        Effect.Send beat = (Effect.Send)
                eventLoop.processBatch(List.of(), new ClockReading(1, 1)).get(0);
        eventLoop.processBatch(
                List.of(new Command.CallEnded(beat.call(), new Reply(200, Json.writeCbor(message(7, 11))))),
                new ClockReading(2, 2));
        JsonNode newest = Json.object().set("j-1", Json.array().add(1).add(2));
        serve(message(7, 10).set("counts", newest));
        assertEquals(List.of(newest), told);
        serve(message(7, 9).set("counts", Json.object()));
        assertEquals(List.of(newest), told, "older counts are a late copy");
        serve(message(6, 12).set("counts", Json.object()));
        assertEquals(List.of(newest), told, "a process that has not answered may be gone");
    }
}
