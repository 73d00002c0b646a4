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
import org.junit.jupiter.api.Timeout;

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

    /** Loads the stored pages as a new process does, and returns their records. */
    private Map<String, JsonNode> loadInto(PackedRecords target, StoreClient reader) {
        Map<String, JsonNode> loaded = new TreeMap<>();
        reader.listPrefix(
                PREFIX,
                result -> target.load(
                        assertInstanceOf(ListResult.Listed.class, result)
                                .listing()
                                .entries(),
                        loaded::put));
        link.advance(1, false);
        return loaded;
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

    // Guards against pages that can't be written any more: the maximum value size was lowered, or a record has grown
    // beyond what the process that stored it had reserved.
    @Test
    @Timeout(60)
    void keepsRecordsWhenMaximumValueSizeChanges() {
        Map<String, JsonNode> expected = new TreeMap<>();
        for (int process = 0; process < 40; process++) {
            int maxValueBytes = 1_024 << random.nextInt(5);
            storeServer.setSizeLimits(maxValueBytes, 16);
            StoreClient newClient = new StoreClient(
                    eventLoop, new Endpoint("10.2.0.1", 1), new StoreLimits(100_000, 100_000, maxValueBytes, 16));
            PackedRecords newRecords = new PackedRecords(newClient, PREFIX, Transaction::new);
            Map<String, JsonNode> loaded = loadInto(newRecords, newClient);
            assertEquals(expected, loaded, "loaded by process " + process);
            for (int round = 0; round < 20; round++) {
                String key = "i-" + random.nextInt(100);
                JsonNode value = Json.array().add(round).add("x".repeat(random.nextInt(300)));
                newRecords.put(key, value, 80);
                expected.put(key, value);
                boolean[] written = new boolean[1];
                while (!written[0]) {
                    newRecords.write(RequestUrgency.NORMAL, success -> written[0] = success);
                    link.advance(1, true);
                }
                assertEquals(expected, storedRecords(), "process " + process + ", round " + round);
            }
        }
        assertTrue(storeServer.count(PREFIX) < 100, "records are packed into pages");
    }

    // A leader may end between the transactions of a write that moves records to another page.
    @Test
    @Timeout(60)
    void movedRecordsAreStoredOnAtLeastOnePageAtAnyTime() {
        StoreClient largeValues =
                new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), new StoreLimits(100_000, 100_000, 8192, 16));
        PackedRecords before = new PackedRecords(largeValues, PREFIX, Transaction::new);
        Map<String, JsonNode> expected = new TreeMap<>();
        for (int i = 0; i < 300; i++) {
            expected.put("i-" + i, Json.array().add(i));
            before.put("i-" + i, expected.get("i-" + i), 0);
        }
        before.write(RequestUrgency.NORMAL, success -> assertTrue(success, "written"));
        link.advance(1, false);
        storeServer.setSizeLimits(1_024, 1);
        StoreClient smallValues =
                new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), new StoreLimits(100_000, 100_000, 1_024, 1));
        for (int transactions = 0; transactions < 12; transactions++) {
            PackedRecords after = new PackedRecords(smallValues, PREFIX, Transaction::new);
            Map<String, JsonNode> loaded = loadInto(after, smallValues);
            assertEquals(expected, loaded, "after " + transactions + " transactions");
            after.put("i-1", expected.get("i-1"), 0);
            link.limitTransactions(transactions);
            after.write(RequestUrgency.NORMAL, success -> {});
            link.advance(1, false);
            link.limitTransactions(Integer.MAX_VALUE);
        }
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
