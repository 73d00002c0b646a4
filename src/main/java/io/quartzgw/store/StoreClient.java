package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Talks to the state service inside this node's budget; every call ends in one answer. */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final String NO_SUCH_LEASE = "no such lease";
    private static final int LIST_PAGE_SIZE = 1000;
    private static final int CALL_TIMEOUT_MS = 1_500;
    /** How much later than its hold time an unanswered follow is given up. */
    private static final int WATCH_TIMEOUT_SLACK_MS = 3_000;

    private static final int WATCH_MS = 20_000;
    /** Failures in a row for this long mean that the service is away for this node. */
    private static final int UNAVAILABLE_AFTER_MS = 400;

    private final EventLoop eventLoop;
    private final Endpoint endpoint;
    private final StoreLimits share;
    private final RequestQueue requests;
    private boolean probing;
    private long lastResponseAt = Long.MIN_VALUE / 2;
    private long failingSince = Long.MAX_VALUE;

    /** @param share the part of the state service's limits that this node may use */
    public StoreClient(EventLoop eventLoop, Endpoint endpoint, StoreLimits share) {
        this.eventLoop = eventLoop;
        this.endpoint = endpoint;
        this.share = share;
        this.requests = new RequestQueue(eventLoop, share, this::recordHealth);
    }

    /** How many changes a second this node may make now. */
    public double writesPerS() {
        return requests.writesPerS();
    }

    public int maxTransactionWrites() {
        return share.maxTransactionWrites();
    }

    public int maxValueBytes() {
        return share.maxValueBytes();
    }

    /**
     * How long to wait after so many changes until the same caller's next ones, so that on average they take no more
     * than a part of this node's share.
     */
    public long pauseMsAfter(int changes, double part) {
        return (long) (changes * 1000 / (part * requests.writesPerS()));
    }

    /** Grants this node more changes a second until a moment, in place of what was granted before. */
    public void applyWriteGrant(double perS, long until) {
        requests.applyWriteGrant(perS, until);
    }

    /** How many changes wait or were asked for since this was last asked. */
    public int takeWriteDemand() {
        return requests.takeWriteDemand();
    }

    /** Whether the service answers this node, as far as recent calls tell. */
    public boolean reachable() {
        return eventLoop.nowMs() - failingSince < UNAVAILABLE_AFTER_MS;
    }

    /** Whether the service has only failed this node for longer than the given time. */
    public boolean failingLongerThan(long ms) {
        return eventLoop.nowMs() - failingSince > ms;
    }

    /** Whether the service has answered this node at all within the given time. */
    public boolean respondedWithin(long ms) {
        return eventLoop.nowMs() - lastResponseAt <= ms;
    }

    // ---- reads

    /** The entry; an empty list when there is none; null when the service did not tell. */
    public void get(String key, Consumer<List<KeyValue>> callback) {
        requests.submit(Call.get(endpoint, "/keys/" + key, CALL_TIMEOUT_MS), 0, RequestUrgency.NORMAL, reply -> {
            if (reply.ok()) {
                callback.accept(List.of(entry(reply.json())));
            } else {
                callback.accept(reply.status() == 404 ? List.of() : null);
            }
        });
    }

    /**
     * Every entry with the prefix, read page by page.
     *
     * @param revision the one before the first page
     * @param readAt when the first page was asked for: all changes made before are in it
     */
    public record Listing(List<KeyValue> entries, long revision, long readAt) {}

    /** The listing, or null when the service did not tell. */
    public void list(String prefix, Consumer<Listing> callback) {
        readPage(prefix, null, new ArrayList<>(), Long.MAX_VALUE, eventLoop.nowMs(), callback);
    }

    private void readPage(
            String prefix,
            String afterKey,
            List<KeyValue> entries,
            long revision,
            long readAt,
            Consumer<Listing> callback) {
        String path =
                "/keys?starts=" + prefix + (afterKey == null ? "" : "&since=" + afterKey) + "&most=" + LIST_PAGE_SIZE;
        requests.submit(Call.get(endpoint, path, CALL_TIMEOUT_MS), 0, RequestUrgency.HIGH, reply -> {
            if (!reply.ok()) {
                callback.accept(null);
                return;
            }
            JsonNode body = reply.json();
            body.path("items").forEach(item -> entries.add(entry(item)));
            // A follow from the first page's revision sees again what changed between the pages.
            long firstRevision = Math.min(revision, body.path("store_rev").asLong());
            if (body.path("more").asBoolean() && !entries.isEmpty()) {
                readPage(prefix, entries.get(entries.size() - 1).key(), entries, firstRevision, readAt, callback);
            } else {
                callback.accept(new Listing(entries, firstRevision, readAt));
            }
        });
    }

    private static KeyValue entry(JsonNode item) {
        return new KeyValue(
                item.path("path").asText(),
                item.path("data"),
                item.path("key_rev").asLong());
    }

    // ---- transactions

    /** Sends a transaction; an outcome that is not known is reported as such and must not be taken for a failure. */
    public void commit(Transaction transaction, RequestUrgency urgency, Consumer<TransactionOutcome> callback) {
        ObjectNode body = Json.object();
        ArrayNode guards = body.putArray("guards");
        transaction.preconditions.forEach(
                guard -> guards.addObject().put("path", guard.key()).put("key_rev", guard.revision()));
        // Without changes a transaction only compares.
        ArrayNode apply = transaction.writes.isEmpty() ? Json.array() : body.putArray("apply");
        for (Transaction.Write write : transaction.writes) {
            if (write.value() == null) {
                apply.addObject().put("drop", write.key());
                continue;
            }
            ObjectNode change = apply.addObject().put("write", write.key());
            change.set("data", write.value());
            if (write.leaseId() != Transaction.NO_LEASE) {
                change.put("permit", write.leaseId());
            }
        }
        requests.submit(
                Call.post(endpoint, "/multi", body, CALL_TIMEOUT_MS),
                transaction.writeCount(),
                urgency,
                reply -> callback.accept(outcome(reply)));
    }

    private static TransactionOutcome outcome(Reply reply) {
        switch (reply.status()) {
            case 200:
                return new TransactionOutcome.Committed(
                        reply.json().path("store_rev").asLong());
            case 409:
                Set<String> failed = new HashSet<>();
                reply.json().path("failed").forEach(key -> failed.add(key.asText()));
                return new TransactionOutcome.Conflict(failed);
            case 400:
                if (!reply.json().path("error").asText().equals(NO_SUCH_LEASE)) {
                    LOG.error("the state service refuses a transaction: {}", reply.json());
                }
                return new TransactionOutcome.LeaseExpired();
            case 429:
            case 503:
                return new TransactionOutcome.Refused();
            default:
                return new TransactionOutcome.Unknown();
        }
    }

    // ---- holds

    /** The hold's number, or null when none was granted. */
    public void grantLease(long ttlMs, Consumer<Long> callback) {
        requests.submit(
                Call.post(endpoint, "/holds", Json.object().put("life_ms", ttlMs), CALL_TIMEOUT_MS),
                0,
                RequestUrgency.HIGH,
                reply ->
                        callback.accept(reply.ok() ? reply.json().path("permit").asLong() : null));
    }

    /** What an extension brought. */
    public enum LeaseRenewal {
        RENEWED,
        EXPIRED,
        UNKNOWN
    }

    /** Renews a lease of the state service. */
    public void renewLease(long leaseId, Consumer<LeaseRenewal> callback) {
        requests.submit(
                Call.post(endpoint, "/holds/" + leaseId + "/extend", Json.object(), CALL_TIMEOUT_MS),
                0,
                RequestUrgency.HIGH,
                reply -> callback.accept(
                        reply.ok()
                                ? LeaseRenewal.RENEWED
                                : reply.status() == 404 ? LeaseRenewal.EXPIRED : LeaseRenewal.UNKNOWN));
    }

    public void revokeLease(long leaseId) {
        requests.submit(
                Call.delete(endpoint, "/holds/" + leaseId, CALL_TIMEOUT_MS), 0, RequestUrgency.NORMAL, reply -> {});
    }

    // ---- follows

    /** Receives changes until it says that it wants no more. */
    public interface Watcher {
        boolean active();

        /** All changes up to a revision have been told, and so all that were made before a moment. */
        default void caughtUp(long revision, long readAt) {}

        /** How long the service may wait for a change before it answers that there was none. */
        default long pollMs() {
            return WATCH_MS;
        }

        void onChanges(List<KeyChange> changes);

        /** Changes were missed: everything has to be read again. */
        void onCompacted();
    }

    /**
     * Follows a prefix from a revision until the follower wants no more or is outdated.
     *
     * @param readAt a moment before which nothing was changed that the revision lacks
     */
    public void watch(String prefix, long fromRevision, long readAt, Watcher watcher) {
        if (!watcher.active()) {
            return;
        }
        watcher.caughtUp(fromRevision, readAt);
        long sentAt = eventLoop.nowMs();
        String path = "/follow?starts=" + prefix + "&since=" + fromRevision + "&hold_ms=" + watcher.pollMs();
        requests.submit(
                Call.get(endpoint, path, watcher.pollMs() + WATCH_TIMEOUT_SLACK_MS), 0, RequestUrgency.HIGH, reply -> {
                    if (!watcher.active()) {
                        return;
                    }
                    if (reply.status() == 410) {
                        watcher.onCompacted();
                    } else if (reply.ok()) {
                        JsonNode body = reply.json();
                        List<KeyChange> changes = new ArrayList<>();
                        body.path("news").forEach(item -> changes.add(change(item)));
                        if (!changes.isEmpty()) {
                            watcher.onChanges(changes);
                        }
                        watch(prefix, body.path("store_rev").asLong(), sentAt, watcher);
                    } else {
                        eventLoop.after(UNAVAILABLE_AFTER_MS / 2, () -> watch(prefix, fromRevision, readAt, watcher));
                    }
                });
    }

    private static KeyChange change(JsonNode item) {
        boolean dropped = item.hasNonNull("drop");
        return new KeyChange(
                item.path(dropped ? "drop" : "write").asText(),
                dropped ? null : item.path("data"),
                item.path("key_rev").asLong());
    }

    // ---- health

    // Users are refused at once while the service is away, so nothing else would find it back.
    private void scheduleProbe() {
        if (!probing) {
            probing = true;
            eventLoop.after(
                    UNAVAILABLE_AFTER_MS,
                    () -> requests.submit(
                            Call.get(endpoint, "/keys?starts=probe/&most=1", CALL_TIMEOUT_MS),
                            0,
                            RequestUrgency.HIGH,
                            reply -> {
                                probing = false;
                                if (failingSince != Long.MAX_VALUE) {
                                    scheduleProbe();
                                }
                            }));
        }
    }

    private void recordHealth(Reply reply) {
        if (reply.status() == Reply.LOST || reply.status() == 503) {
            failingSince = Math.min(failingSince, eventLoop.nowMs());
            scheduleProbe();
        } else {
            lastResponseAt = eventLoop.nowMs();
            failingSince = Long.MAX_VALUE;
        }
    }
}
