import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol page, with its limits. */
final class StateService {
    private static final int KEPT_CHANGES = 10_000;
    private static final int PAGE_ITEMS = 1000;
    private static final int PAGE_BYTES = 512 * 1024;
    private static final int TRANSACTION_BYTES = 64 * 1024;

    final String address;
    private final double valueKb;
    private final int txnOps;
    private final Budget requests;
    private final Budget writes;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long droppedUpTo;
    private long lastLease;

    private record Entry(JsonNode data, long revision, long lease) {}

    private record Change(String key, JsonNode data, long revision) {}

    private static final class Lease {
        double lifeS;
        double endsAt;
    }

    /** A rate with bursts of one second's worth. */
    static final class Budget {
        private final double rate;
        private final double burst;
        private double tokens;
        private double at;

        Budget(double rate, double burstS) {
            this.rate = rate;
            this.burst = rate * burstS;
            this.tokens = burst;
        }

        synchronized boolean take(double count) {
            double now = Lab.now();
            tokens = Math.min(burst, tokens + (now - at) * rate);
            at = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    StateService(double rps, double writeRps, double valueKb, int txnOps) throws Exception {
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        this.requests = new Budget(rps, 1);
        this.writes = new Budget(writeRps, 1);
        this.address = Lab.serve(this::handle);
        Lab.background(this::expireLeases);
    }

    private void expireLeases() {
        try {
            while (true) {
                Lab.sleep(0.02);
                synchronized (this) {
                    for (Long id : List.copyOf(leases.keySet())) {
                        if (Lab.now() > leases.get(id).endsAt) {
                            endLease(id);
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Lab.Reply handle(Lab.Request request) throws Exception {
        if (!requests.take(1)) {
            return error(429, "too many requests");
        }
        String path = request.path();
        if (path.equals("/follow")) {
            return follow(request.query());
        }
        synchronized (this) {
            if (path.equals("/keys")) {
                return list(request.query());
            } else if (path.startsWith("/keys/")) {
                return read(path.substring("/keys/".length()));
            } else if (path.equals("/multi")) {
                return transact(request);
            } else if (path.equals("/holds")) {
                return grant(request.json().path("life_ms").asLong());
            } else if (path.startsWith("/holds/")) {
                return lease(request.method(), Long.parseLong(path.split("/")[2]));
            }
        }
        return error(404, "no such path");
    }

    private static Lab.Reply error(int status, String text) {
        return Lab.reply(status, Lab.object().put("error", text));
    }

    private static ObjectNode item(String key, Entry entry) {
        ObjectNode item = Lab.object().put("path", key).put("key_rev", entry.revision());
        item.set("data", entry.data());
        if (entry.lease() != 0) {
            item.put("permit", entry.lease());
        }
        return item;
    }

    private Lab.Reply read(String key) {
        Entry entry = keys.get(key);
        return entry == null
                ? Lab.reply(404, Lab.object().put("store_rev", revision))
                : Lab.reply(200, item(key, entry));
    }

    private Lab.Reply list(Map<String, String> query) {
        String prefix = query.get("starts");
        String since = query.getOrDefault("since", "");
        int most = Math.min(PAGE_ITEMS, Integer.parseInt(query.getOrDefault("most", "1000")));
        ObjectNode body = Lab.object().put("store_rev", revision);
        ArrayNode items = body.putArray("items");
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(since) <= 0) {
                continue;
            }
            ObjectNode item = item(entry.getKey(), entry.getValue());
            bytes += item.toString().length() + 1;
            if (items.size() == most || (bytes > PAGE_BYTES - 200 && items.size() > 0)) {
                more = true;
                break;
            }
            items.add(item);
        }
        return Lab.reply(200, body.put("more", more));
    }

    private Lab.Reply transact(Lab.Request request) throws Exception {
        JsonNode body = request.json();
        JsonNode guards = body.path("guards");
        JsonNode apply = body.path("apply");
        if (request.body().length > TRANSACTION_BYTES || apply.size() > txnOps || guards.size() > 4 * txnOps) {
            return error(400, "too large");
        }
        for (JsonNode change : apply) {
            if (change.has("data") && change.get("data").toString().length() > valueKb * 1024) {
                return error(400, "value too large");
            }
        }
        if (apply.size() > 0 && !writes.take(apply.size())) {
            return error(429, "too many changes");
        }
        ArrayNode failed = Lab.JSON.createArrayNode();
        for (JsonNode guard : guards) {
            Entry entry = keys.get(guard.path("path").asText());
            if ((entry == null ? 0 : entry.revision()) != guard.path("key_rev").asLong()) {
                failed.add(guard.path("path").asText());
            }
        }
        for (JsonNode change : apply) {
            if (change.hasNonNull("permit") && !leases.containsKey(change.path("permit").asLong())) {
                return error(400, "no such lease");
            }
        }
        if (failed.size() > 0) {
            ObjectNode conflict = Lab.object().put("store_rev", revision);
            conflict.set("failed", failed);
            return Lab.reply(409, conflict);
        }
        if (apply.size() > 0) {
            revision++;
            for (JsonNode change : apply) {
                if (change.has("write")) {
                    put(change.get("write").asText(), change.path("data"), change.path("permit").asLong(0));
                } else {
                    delete(change.path("drop").asText());
                }
            }
            notifyAll();
        }
        return Lab.reply(200, Lab.object().put("store_rev", revision));
    }

    private void put(String key, JsonNode data, long lease) {
        keys.put(key, new Entry(data, revision, lease));
        addChange(new Change(key, data, revision));
    }

    private void delete(String key) {
        if (keys.remove(key) != null) {
            addChange(new Change(key, null, revision));
        }
    }

    private void addChange(Change change) {
        changes.addLast(change);
        if (changes.size() > KEPT_CHANGES) {
            droppedUpTo = changes.removeFirst().revision();
        }
    }

    private Lab.Reply grant(long lifeMs) {
        Lease lease = new Lease();
        lease.lifeS = lifeMs / 1000.0;
        lease.endsAt = Lab.now() + lease.lifeS;
        leases.put(++lastLease, lease);
        return Lab.reply(200, Lab.object().put("permit", lastLease));
    }

    private Lab.Reply lease(String method, long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return error(404, "no such lease");
        }
        if (method.equals("DELETE")) {
            endLease(id);
        } else {
            lease.endsAt = Lab.now() + lease.lifeS;
        }
        return Lab.reply(200, Lab.object().put("permit", id));
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.lease() == id) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(this::delete);
            notifyAll();
        }
    }

    private synchronized Lab.Reply follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("starts");
        long since = Long.parseLong(query.get("since"));
        double until = Lab.now() + Long.parseLong(query.getOrDefault("hold_ms", "0")) / 1000.0;
        while (true) {
            if (since < droppedUpTo) {
                return error(410, "too old");
            }
            ObjectNode body = Lab.object().put("store_rev", revision);
            ArrayNode news = body.putArray("news");
            for (Change change : changes) {
                if (change.revision() > since && change.key().startsWith(prefix)) {
                    ObjectNode item = news.addObject().put("key_rev", change.revision());
                    if (change.data() == null) {
                        item.put("drop", change.key());
                    } else {
                        item.put("write", change.key()).set("data", change.data());
                    }
                }
            }
            double left = until - Lab.now();
            if (news.size() > 0 || left <= 0) {
                return Lab.reply(200, body);
            }
            wait(Math.max(1, (long) (left * 1000)));
        }
    }
}
