package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.store.TokenBucket;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The state service as its protocol page describes it; time is handed in. */
public final class SimulatedStore {
    private static final StoreLimits BINDING_NOWHERE = new StoreLimits(300, 120, 8192, 16);
    private static final int TXN_BYTES = 64 * 1024;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final List<News> news = new ArrayList<>();
    private final List<Follow> follows = new ArrayList<>();
    private final StoreLimits limits;
    /** What it still takes; null when it takes all. */
    private final TokenBucket writes;

    private int rejectedTransactions;
    private long revision;
    private long forgottenTo;
    private long permits;
    private boolean setOutage;
    private boolean followsHeld;
    private long now;

    private record Item(JsonNode value, long revision, Long permit) {}

    private record News(String key, JsonNode value, long revision) {}

    private record Follow(String prefix, long since, long until, Consumer<Reply> then) {}

    private static final class Hold {
        private final long life;
        private long until;

        Hold(long life, long until) {
            this.life = life;
            this.until = until;
        }
    }

    /** A service that takes as many changes as come. */
    public SimulatedStore() {
        this.limits = BINDING_NOWHERE;
        this.writes = null;
    }

    /** A service that refuses changes beyond its limits. */
    SimulatedStore(StoreLimits limits) {
        this.limits = limits;
        this.writes = new TokenBucket(limits.writesPerS(), 0);
    }

    StoreLimits limits() {
        return limits;
    }

    /** How many transactions were refused since they exceeded the limit of changes. */
    public int rejectedTransactions() {
        return rejectedTransactions;
    }

    /** An outage refuses everything but open follows; after it every hold has its full time again. */
    public void setOutage(boolean on) {
        if (setOutage && !on) {
            holds.values().forEach(hold -> hold.until = now + hold.life);
        }
        setOutage = on;
    }

    /** Answers no follow for a while, while all else is answered. */
    public void setWatchesPaused(boolean on) {
        followsHeld = on;
    }

    /** Ends every open follow without an answer of use. */
    public void abortWatches() {
        List<Follow> open = List.copyOf(follows);
        follows.clear();
        open.forEach(follow -> follow.then().accept(reply(503, Json.object().put("error", "trouble"))));
    }

    /** Forgets all changes so far: a follow from before them gets 410. */
    public void compactHistory() {
        news.clear();
        forgottenTo = revision;
    }

    public JsonNode value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    public int count(String prefix) {
        return items.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Lets time pass up to a moment. */
    public void advanceTo(long at) {
        now = at;
        if (setOutage) {
            return;
        }
        for (Long permit : List.copyOf(holds.keySet())) {
            if (holds.get(permit).until < now) {
                end(permit);
            }
        }
        for (Follow follow : followsHeld ? List.<Follow>of() : List.copyOf(follows)) {
            if (!changes(follow).isEmpty() || now >= follow.until) {
                follows.remove(follow);
                follow.then.accept(followed(follow));
            }
        }
    }

    /** Answers a call of the state service. */
    public void handle(Call call, long at, Consumer<Reply> then) {
        advanceTo(at);
        URI uri = URI.create(call.path());
        if (setOutage) {
            then.accept(reply(503, Json.object().put("error", "trouble")));
        } else if (uri.getPath().equals("/follow")) {
            Map<String, String> query = query(uri);
            Follow follow = new Follow(
                    query.get("starts"),
                    Long.parseLong(query.get("since")),
                    now + Long.parseLong(query.getOrDefault("hold_ms", "0")),
                    then);
            if (follow.since < forgottenTo) {
                then.accept(reply(410, Json.object()));
            } else if (followsHeld || changes(follow).isEmpty()) {
                follows.add(follow);
            } else {
                then.accept(followed(follow));
            }
        } else {
            then.accept(answer(call, uri));
        }
        advanceTo(at);
    }

    private Reply answer(Call call, URI uri) {
        String path = uri.getPath();
        if (path.equals("/keys")) {
            return list(query(uri));
        }
        if (path.startsWith("/keys/")) {
            Item item = items.get(path.substring("/keys/".length()));
            return item == null
                    ? reply(404, Json.object().put("store_rev", revision))
                    : reply(200, node(path.substring("/keys/".length()), item));
        }
        if (path.equals("/multi")) {
            return multi(Json.readOrNull(call.body()));
        }
        if (path.equals("/holds")) {
            long life = Json.readOrNull(call.body()).path("life_ms").asLong();
            holds.put(++permits, new Hold(life, now + life));
            return reply(200, Json.object().put("permit", permits));
        }
        String[] parts = path.split("/");
        long permit = Long.parseLong(parts[2]);
        Hold hold = holds.get(permit);
        if (hold == null) {
            return reply(404, Json.object());
        }
        if (call.method().equals("DELETE")) {
            end(permit);
        } else {
            hold.until = now + hold.life;
        }
        return reply(200, Json.object().put("permit", permit));
    }

    private Reply list(Map<String, String> query) {
        String prefix = query.get("starts");
        String since = query.getOrDefault("since", "");
        int most = Integer.parseInt(query.getOrDefault("most", "1000"));
        ObjectNode body = Json.object().put("store_rev", revision);
        ArrayNode list = body.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(since) > 0) {
                more = list.size() == most;
                if (more) {
                    break;
                }
                list.add(node(entry.getKey(), entry.getValue()));
            }
        }
        return reply(200, body.put("more", more));
    }

    private static ObjectNode node(String key, Item item) {
        ObjectNode node = Json.object().put("path", key).put("key_rev", item.revision);
        node.set("data", item.value);
        return node;
    }

    private boolean tooMuch(JsonNode body) {
        if (body.path("apply").size() > limits.maxTransactionWrites()
                || body.path("guards").size() > 4 * limits.maxTransactionWrites()
                || Json.write(body).length > TXN_BYTES) {
            return true;
        }
        for (JsonNode write : body.path("apply")) {
            if (write.has("data") && Json.write(write.get("data")).length > limits.maxValueBytes()) {
                return true;
            }
        }
        return false;
    }

    private Reply multi(JsonNode body) {
        if (tooMuch(body)) {
            return reply(400, Json.object().put("error", "too much"));
        }
        int changes = body.path("apply").size();
        if (writes != null && changes > 0) {
            if (writes.waitMsFor(changes, now) > 0) {
                rejectedTransactions++;
                return reply(429, Json.object().put("error", "too many changes"));
            }
            writes.take(changes, now);
        }
        ArrayNode failed = Json.object().putArray("failed");
        for (JsonNode guard : body.path("guards")) {
            Item item = items.get(guard.path("path").asText());
            if ((item == null ? 0 : item.revision) != guard.path("key_rev").asLong()) {
                failed.add(guard.path("path").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode conflict = Json.object().put("store_rev", revision);
            conflict.set("failed", failed);
            return reply(409, conflict);
        }
        for (JsonNode write : body.path("apply")) {
            if (write.has("permit") && !holds.containsKey(write.path("permit").asLong())) {
                return reply(400, Json.object().put("error", "no such lease"));
            }
        }
        if (body.path("apply").size() > 0) {
            revision++;
        }
        for (JsonNode write : body.path("apply")) {
            if (write.has("drop")) {
                change(write.path("drop").asText(), null, null);
            } else {
                change(
                        write.path("write").asText(),
                        write.path("data"),
                        write.has("permit") ? (Long) write.path("permit").asLong() : null);
            }
        }
        return reply(200, Json.object().put("store_rev", revision));
    }

    private void change(String key, JsonNode value, Long permit) {
        if (value == null) {
            if (items.remove(key) == null) {
                return;
            }
        } else {
            items.put(key, new Item(value, revision, permit));
        }
        news.add(new News(key, value, revision));
    }

    private void end(long permit) {
        holds.remove(permit);
        List<String> held = items.entrySet().stream()
                .filter(entry -> entry.getValue().permit != null && entry.getValue().permit == permit)
                .map(Map.Entry::getKey)
                .toList();
        if (!held.isEmpty()) {
            revision++;
            held.forEach(key -> change(key, null, null));
        }
    }

    private List<News> changes(Follow follow) {
        return news.stream()
                .filter(item -> item.revision > follow.since && item.key.startsWith(follow.prefix))
                .toList();
    }

    private Reply followed(Follow follow) {
        ObjectNode body = Json.object().put("store_rev", revision);
        ArrayNode list = body.putArray("news");
        for (News item : changes(follow)) {
            ObjectNode node = list.addObject()
                    .put(item.value == null ? "drop" : "write", item.key)
                    .put("key_rev", item.revision);
            if (item.value != null) {
                node.set("data", item.value);
            }
        }
        return reply(200, body);
    }

    static Map<String, String> query(URI uri) {
        Map<String, String> query = new HashMap<>();
        for (String pair : uri.getQuery().split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    static Reply reply(int status, JsonNode body) {
        return new Reply(status, Json.write(body));
    }
}
