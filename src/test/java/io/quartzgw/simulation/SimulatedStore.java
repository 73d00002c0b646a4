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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The state service, as specified by its protocol: keys with revisions, guarded transactions, leases and watches.
 * Callers supply the time.
 */
public final class SimulatedStore {
    private static final StoreLimits DEFAULT_LIMITS = new StoreLimits(300, 120, 8192, 16);
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    /** The maximum number of guards of a transaction, per write that the limits allow. */
    private static final int MAX_GUARDS_PER_WRITE = 4;

    private final Map<Long, Lease> leases = new HashMap<>();
    private final StoreWatches watches = new StoreWatches();
    private final StoreEntries entries = new StoreEntries(watches);
    private StoreLimits limits;
    /** Limits the writes per second; empty when their rate is unlimited. */
    private final Optional<TokenBucket> writeBudget;

    private int rejectedTransactions;
    private long lastLeaseId;
    private boolean outage;
    private long now;

    private static final class Lease {
        private final long durationMs;
        private long expiresAt;

        Lease(long durationMs, long now) {
            this.durationMs = durationMs;
            renew(now);
        }

        void renew(long now) {
            expiresAt = now + durationMs;
        }
    }

    /** Creates a state service with an unlimited rate of writes. */
    public SimulatedStore() {
        this.limits = DEFAULT_LIMITS;
        this.writeBudget = Optional.empty();
    }

    /** Creates a state service that rejects transactions beyond its limits, also beyond the rate of writes. */
    SimulatedStore(StoreLimits limits) {
        this.limits = limits;
        this.writeBudget = Optional.of(new TokenBucket(limits.writesPerS(), 0));
    }

    /** The limits beyond which requests are rejected. */
    public StoreLimits limits() {
        return limits;
    }

    /** The number of transactions that were rejected because they exceeded the rate of writes. */
    public int rejectedTransactions() {
        return rejectedTransactions;
    }

    /** Changes the limits on the size of values and transactions. What is stored remains readable. */
    public void setSizeLimits(int maxValueBytes, int maxTransactionWrites) {
        limits = new StoreLimits(limits.requestsPerS(), limits.writesPerS(), maxValueBytes, maxTransactionWrites);
    }

    // ---- faults

    /**
     * Begins or ends an outage. During it all requests are rejected and open watches stay open; at its end every lease
     * is renewed.
     */
    public void setOutage(boolean on) {
        if (outage && !on) {
            leases.values().forEach(lease -> lease.renew(now));
        }
        outage = on;
    }

    /** Pauses or resumes watches. While paused they get no response; all other requests do. */
    public void setWatchesPaused(boolean on) {
        watches.setPaused(on);
    }

    /** Ends every open watch with an error. */
    public void abortWatches() {
        watches.abort(unavailable());
    }

    /** Discards the history of changes: a watch from an earlier revision is rejected as outdated. */
    public void compactHistory() {
        watches.compact();
    }

    // ---- state

    /** The value of a key; null when the key doesn't exist. */
    public JsonNode value(String key) {
        return entries.value(key).orElse(null);
    }

    /** Sets the value of a key, as another client might. */
    public void setValue(String key, JsonNode value) {
        watches.nextRevision();
        ObjectNode write = Json.object().put("write", key);
        write.set("data", value);
        entries.apply(write);
    }

    /** The number of keys with a prefix. */
    public int count(String prefix) {
        return entries.count(prefix);
    }

    /** Advances the clock: expires leases and responds to watches that are due. */
    public void advanceTo(long time) {
        now = time;
        if (outage) {
            return;
        }
        for (Long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).expiresAt < now) {
                endLease(id);
            }
        }
        watches.advanceTo(now);
    }

    // ---- requests

    /** Handles a request to the state service. */
    public void handle(Call call, long time, Consumer<Reply> onReply) {
        advanceTo(time);
        URI uri = URI.create(call.path());
        if (outage) {
            onReply.accept(unavailable());
        } else if (uri.getPath().equals("/follow")) {
            watch(query(uri), onReply);
        } else {
            onReply.accept(response(call, uri));
        }
        advanceTo(time);
    }

    private void watch(Map<String, String> query, Consumer<Reply> onReply) {
        long deadline = now + Long.parseLong(query.getOrDefault("hold_ms", "0"));
        watches.open(
                new StoreWatches.Watch(query.get("starts"), Long.parseLong(query.get("since")), deadline, onReply));
    }

    private Reply response(Call call, URI uri) {
        String path = uri.getPath();
        if (path.equals("/keys")) {
            return entries.list(query(uri));
        }
        if (path.startsWith("/keys/")) {
            return entries.read(path.substring("/keys/".length()));
        }
        if (path.equals("/multi")) {
            return transact(Json.readOrNull(call.body()));
        }
        if (path.equals("/holds")) {
            return grantLease(Json.readOrNull(call.body()).path("life_ms").asLong());
        }
        return renewOrEndLease(call.method(), Long.parseLong(path.split("/", -1)[2]));
    }

    // ---- leases

    private Reply grantLease(long durationMs) {
        leases.put(++lastLeaseId, new Lease(durationMs, now));
        return reply(200, Json.object().put("permit", lastLeaseId));
    }

    private Reply renewOrEndLease(String method, long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return reply(404, Json.object());
        }
        if (method.equals("DELETE")) {
            endLease(id);
        } else {
            lease.renew(now);
        }
        return reply(200, Json.object().put("permit", id));
    }

    private void endLease(long id) {
        leases.remove(id);
        entries.deleteKeysOfLease(id);
    }

    // ---- transactions

    private Reply transact(JsonNode body) {
        if (exceedsLimits(body)) {
            return reply(400, Json.object().put("error", "too much"));
        }
        JsonNode writes = body.path("apply");
        if (!takeFromWriteBudget(writes.size())) {
            rejectedTransactions++;
            return reply(429, Json.object().put("error", "too many changes"));
        }
        ArrayNode failed = entries.failedGuards(body.path("guards"));
        if (!failed.isEmpty()) {
            ObjectNode conflict = Json.object().put("store_rev", watches.revision());
            conflict.set("failed", failed);
            return reply(409, conflict);
        }
        for (JsonNode write : writes) {
            if (write.has("permit") && !leases.containsKey(write.path("permit").asLong())) {
                return reply(400, Json.object().put("error", "no such lease"));
            }
        }
        if (writes.size() > 0) {
            watches.nextRevision();
        }
        writes.forEach(entries::apply);
        return reply(200, Json.object().put("store_rev", watches.revision()));
    }

    private boolean exceedsLimits(JsonNode body) {
        if (body.path("apply").size() > limits.maxTransactionWrites()
                || body.path("guards").size() > MAX_GUARDS_PER_WRITE * limits.maxTransactionWrites()
                || Json.write(body).length > MAX_TRANSACTION_BYTES) {
            return true;
        }
        for (JsonNode write : body.path("apply")) {
            if (write.has("data") && Json.write(write.get("data")).length > limits.maxValueBytes()) {
                return true;
            }
        }
        return false;
    }

    private boolean takeFromWriteBudget(int writes) {
        if (writeBudget.isEmpty() || writes == 0) {
            return true;
        }
        TokenBucket budget = writeBudget.get();
        if (budget.waitMsFor(writes, now) > 0) {
            return false;
        }
        budget.take(writes, now);
        return true;
    }

    // ---- HTTP

    /** The response during an outage. */
    static Reply unavailable() {
        return reply(503, Json.object().put("error", "trouble"));
    }

    /** Parses the query parameters of a request. */
    static Map<String, String> query(URI uri) {
        Map<String, String> query = new HashMap<>();
        for (String pair : uri.getQuery().split("&", -1)) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    /** A reply with a JSON body. */
    static Reply reply(int status, JsonNode body) {
        return new Reply(status, Json.write(body));
    }
}
