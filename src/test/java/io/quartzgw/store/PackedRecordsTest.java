package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.simulation.LossyLink;
import io.quartzgw.simulation.SimulatedStore;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Compares packed records with a plain map while transactions are lost or applied late. */
class PackedRecordsTest {
    private static final String PREFIX = "p/";

    private final EventLoop eventLoop = new EventLoop(1);
    private final SplittableRandom random = new SplittableRandom(4);
    private final SimulatedStore storeServer = new SimulatedStore();
    private final LossyLink link = new LossyLink(eventLoop, storeServer, random);
    private final StoreClient client =
            new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), new StoreLimits(100_000, 100_000, 8192, 16));
    private final PackedRecords records = new PackedRecords(client, PREFIX, Transaction::new);

    private Map<String, JsonNode> storedRecords() {
        Map<String, JsonNode> stored = new TreeMap<>();
        client.listPrefix(PREFIX, result -> {
            ListResult.Listed listed = assertInstanceOf(ListResult.Listed.class, result);
            listed.listing().entries().forEach(page -> page.value()
                    .properties()
                    .forEach(field -> stored.put(field.getKey(), field.getValue())));
        });
        link.advance(1, false);
        return stored;
    }

    // Guards against a delayed transaction that overwrites newer records when the state service applies it minutes
    // later.
    @Test
    void keepsRecordsWhenTransactionsAreLostOrDelayed() {
        Map<String, JsonNode> expected = new TreeMap<>();
        for (int round = 0; round < 400; round++) {
            String key = "i-" + random.nextInt(300);
            if (random.nextInt(5) == 0) {
                records.remove(key);
                expected.remove(key);
            } else {
                JsonNode value = Json.array().add(round).add("x".repeat(random.nextInt(60)));
                records.put(key, value, 80);
                expected.put(key, value);
            }
            boolean[] written = new boolean[1];
            while (!written[0]) {
                records.write(RequestUrgency.NORMAL, success -> written[0] = success);
                link.advance(1, true);
            }
            assertEquals(expected, storedRecords(), "round " + round);
            if (random.nextInt(3) == 0) {
                link.applyLostTransaction();
                assertEquals(expected, storedRecords(), "after a delayed duplicate was applied");
            }
        }
        assertTrue(storeServer.count(PREFIX) > 1, "records fill more than one page");
        assertTrue(storeServer.count(PREFIX) < 10, "records are packed into few pages");
    }

    // Guards against a write that includes changes made while it is in progress. With a small budget there are always
    // some, and task starts that wait for the write would be blocked for as long as machines are rented.
    @Test
    void completesWriteWhileRecordsChange() {
        int[] changes = new int[1];
        eventLoop.onBatchEnd(() -> {
            if (changes[0] < 50) {
                records.put("i-later" + changes[0]++, Json.array().add("x".repeat(200)), 0);
            }
        });
        records.put("i-first", Json.array().add(1), 0);
        int[] changesAtCompletion = {-1};
        records.write(RequestUrgency.NORMAL, written -> changesAtCompletion[0] = written ? changes[0] : -1);
        link.advance(1, false);
        assertTrue(changesAtCompletion[0] >= 0, "the write completes");
        assertTrue(
                changesAtCompletion[0] < 10,
                "the write completes before most of the changes: " + changesAtCompletion[0]);
        assertTrue(storedRecords().containsKey("i-first"));
    }
}
