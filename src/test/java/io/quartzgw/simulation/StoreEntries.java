package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The keys of the simulated state service with their values and revisions. */
final class StoreEntries {
    private static final String DEFAULT_PAGE_SIZE = "1000";

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final StoreWatches watches;

    /** The value of a key. An entry with a lease is deleted when the lease ends. */
    private record Entry(JsonNode value, long revision, OptionalLong lease) {
        boolean hasLease(long id) {
            return lease.isPresent() && lease.getAsLong() == id;
        }
    }

    /** @param watches records all changes, and holds the current revision */
    StoreEntries(StoreWatches watches) {
        this.watches = watches;
    }

    Optional<JsonNode> value(String key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::value);
    }

    int count(String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Reads one key. */
    Reply read(String key) {
        Entry entry = entries.get(key);
        return entry == null
                ? SimulatedStore.reply(404, Json.object().put("store_rev", watches.revision()))
                : SimulatedStore.reply(200, entryNode(key, entry));
    }

    /** Lists a page of the keys with a prefix, in order. */
    Reply list(Map<String, String> query) {
        String prefix = query.get("starts");
        String since = query.getOrDefault("since", "");
        int pageSize = Integer.parseInt(query.getOrDefault("most", DEFAULT_PAGE_SIZE));
        ObjectNode body = Json.object().put("store_rev", watches.revision());
        ArrayNode page = body.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(since) > 0) {
                more = page.size() == pageSize;
                if (more) {
                    break;
                }
                page.add(entryNode(entry.getKey(), entry.getValue()));
            }
        }
        return SimulatedStore.reply(200, body.put("more", more));
    }

    private static ObjectNode entryNode(String key, Entry entry) {
        ObjectNode node = Json.object().put("path", key).put("key_rev", entry.revision);
        node.set("data", entry.value);
        return node;
    }

    /** The keys whose revision differs from the one expected by a guard. */
    ArrayNode failedGuards(JsonNode guards) {
        ArrayNode failed = Json.object().putArray("failed");
        for (JsonNode guard : guards) {
            String key = guard.path("path").asText();
            Entry entry = entries.get(key);
            long revision = entry == null ? 0 : entry.revision;
            if (revision != guard.path("key_rev").asLong()) {
                failed.add(key);
            }
        }
        return failed;
    }

    /** Applies one write of a transaction at the current revision. */
    void apply(JsonNode write) {
        if (write.has("drop")) {
            delete(write.path("drop").asText());
            return;
        }
        OptionalLong lease =
                write.has("permit") ? OptionalLong.of(write.path("permit").asLong()) : OptionalLong.empty();
        String key = write.path("write").asText();
        JsonNode value = write.path("data");
        entries.put(key, new Entry(value, watches.revision(), lease));
        watches.add(key, Optional.of(value));
    }

    private void delete(String key) {
        if (entries.remove(key) != null) {
            watches.add(key, Optional.empty());
        }
    }

    /** Deletes all keys of a lease, in a new revision. */
    void deleteKeysOfLease(long lease) {
        List<String> keys = entries.entrySet().stream()
                .filter(entry -> entry.getValue().hasLease(lease))
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            watches.nextRevision();
            keys.forEach(this::delete);
        }
    }
}
