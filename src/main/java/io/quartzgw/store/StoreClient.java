package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.loop.Kernel;
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
    private static final String HOLD_ENDED = "no such lease";
    private static final int PAGE = 1000;
    private static final int TIMEOUT_MS = 1_500;
    /** How much later than its hold time an unanswered follow is given up. */
    private static final int FOLLOW_SLACK_MS = 3_000;

    private static final int FOLLOW_MS = 20_000;
    /** Failures in a row for this long mean that the service is away for this node. */
    private static final int AWAY_MS = 400;

    private final Kernel kernel;
    private final Endpoint endpoint;
    private final StoreLimits share;
    private final CallQueue calls;
    private boolean probing;
    private long lastAnswered = Long.MIN_VALUE / 2;
    private long failingSince = Long.MAX_VALUE;

    /** @param share the part of the state service's limits that this node may use */
    public StoreClient(Kernel kernel, Endpoint endpoint, StoreLimits share) {
        this.kernel = kernel;
        this.endpoint = endpoint;
        this.share = share;
        this.calls = new CallQueue(kernel, share, this::noteHealth);
    }

    /** How many changes a second this node may make now. */
    public double writesPerS() {
        return calls.writesPerS();
    }

    public int txnOps() {
        return share.txnOps();
    }

    public int valueBytes() {
        return share.valueBytes();
    }

    /**
     * How long to wait after so many changes until the same caller's next ones, so that on average they take no more
     * than a part of this node's share.
     */
    public long pauseMsAfter(int changes, double part) {
        return (long) (changes * 1000 / (part * calls.writesPerS()));
    }

    /** Lends this node more changes a second until a moment, in place of what was lent before. */
    public void lendWrites(double perS, long until) {
        calls.lendWrites(perS, until);
    }

    /** How many changes wait or were asked for since this was last asked. */
    public int takeWantedWrites() {
        return calls.takeWantedWrites();
    }

    /** Whether the service answers this node, as far as recent calls tell. */
    public boolean reachable() {
        return kernel.now() - failingSince < AWAY_MS;
    }

    /** Whether the service has only failed this node for longer than the given time. */
    public boolean failingLongerThan(long ms) {
        return kernel.now() - failingSince > ms;
    }

    /** Whether the service has answered this node at all within the given time. */
    public boolean answeredWithin(long ms) {
        return kernel.now() - lastAnswered <= ms;
    }

    // ---- reads

    /** The entry; an empty list when there is none; null when the service did not tell. */
    public void get(String key, Consumer<List<Entry>> then) {
        calls.submit(Call.get(endpoint, "/keys/" + key, TIMEOUT_MS), 0, Urgency.NORMAL, reply -> {
            if (reply.ok()) {
                then.accept(List.of(entry(reply.json())));
            } else {
                then.accept(reply.status() == 404 ? List.of() : null);
            }
        });
    }

    /**
     * Every entry with the prefix, read page by page.
     *
     * @param revision the one before the first page
     * @param at when the first page was asked for: all changes made before are in it
     */
    public record Listing(List<Entry> entries, long revision, long at) {}

    /** The listing, or null when the service did not tell. */
    public void list(String prefix, Consumer<Listing> then) {
        page(prefix, null, new ArrayList<>(), Long.MAX_VALUE, kernel.now(), then);
    }

    private void page(String prefix, String since, List<Entry> sofar, long revision, long at, Consumer<Listing> then) {
        String path = "/keys?starts=" + prefix + (since == null ? "" : "&since=" + since) + "&most=" + PAGE;
        calls.submit(Call.get(endpoint, path, TIMEOUT_MS), 0, Urgency.FIRST, reply -> {
            if (!reply.ok()) {
                then.accept(null);
                return;
            }
            JsonNode body = reply.json();
            body.path("items").forEach(item -> sofar.add(entry(item)));
            // A follow from the first page's revision sees again what changed between the pages.
            long from = Math.min(revision, body.path("store_rev").asLong());
            if (body.path("more").asBoolean() && !sofar.isEmpty()) {
                page(prefix, sofar.get(sofar.size() - 1).key(), sofar, from, at, then);
            } else {
                then.accept(new Listing(sofar, from, at));
            }
        });
    }

    private static Entry entry(JsonNode item) {
        return new Entry(
                item.path("path").asText(),
                item.path("data"),
                item.path("key_rev").asLong());
    }

    // ---- transactions

    /** Sends a transaction; an outcome that is not known is reported as such and must not be taken for a failure. */
    public void commit(Txn txn, Urgency urgency, Consumer<TxnOutcome> then) {
        ObjectNode body = Json.object();
        ArrayNode guards = body.putArray("guards");
        txn.guards.forEach(guard -> guards.addObject().put("path", guard.key()).put("key_rev", guard.revision()));
        // Without changes a transaction only compares.
        ArrayNode apply = txn.writes.isEmpty() ? Json.array() : body.putArray("apply");
        for (Txn.Write write : txn.writes) {
            if (write.value() == null) {
                apply.addObject().put("drop", write.key());
                continue;
            }
            ObjectNode put = apply.addObject().put("write", write.key());
            put.set("data", write.value());
            if (write.hold() != Txn.NO_HOLD) {
                put.put("permit", write.hold());
            }
        }
        calls.submit(
                Call.post(endpoint, "/multi", body, TIMEOUT_MS),
                txn.size(),
                urgency,
                reply -> then.accept(outcome(reply)));
    }

    private static TxnOutcome outcome(Reply reply) {
        switch (reply.status()) {
            case 200:
                return new TxnOutcome.Committed(reply.json().path("store_rev").asLong());
            case 409:
                Set<String> failed = new HashSet<>();
                reply.json().path("failed").forEach(key -> failed.add(key.asText()));
                return new TxnOutcome.Conflict(failed);
            case 400:
                if (!reply.json().path("error").asText().equals(HOLD_ENDED)) {
                    LOG.error("the state service refuses a transaction: {}", reply.json());
                }
                return new TxnOutcome.HoldEnded();
            case 429:
            case 503:
                return new TxnOutcome.Refused();
            default:
                return new TxnOutcome.Unknown();
        }
    }

    // ---- holds

    /** The hold's number, or null when none was granted. */
    public void grantHold(long lifeMs, Consumer<Long> then) {
        calls.submit(
                Call.post(endpoint, "/holds", Json.object().put("life_ms", lifeMs), TIMEOUT_MS),
                0,
                Urgency.FIRST,
                reply -> then.accept(reply.ok() ? reply.json().path("permit").asLong() : null));
    }

    /** What an extension brought. */
    public enum Extension {
        EXTENDED,
        ENDED,
        UNKNOWN
    }

    /** Renews a lease of the state service. */
    public void extendHold(long hold, Consumer<Extension> then) {
        calls.submit(
                Call.post(endpoint, "/holds/" + hold + "/extend", Json.object(), TIMEOUT_MS),
                0,
                Urgency.FIRST,
                reply -> then.accept(
                        reply.ok() ? Extension.EXTENDED : reply.status() == 404 ? Extension.ENDED : Extension.UNKNOWN));
    }

    public void dropHold(long hold) {
        calls.submit(Call.delete(endpoint, "/holds/" + hold, TIMEOUT_MS), 0, Urgency.NORMAL, reply -> {});
    }

    // ---- follows

    /** Receives changes until it says that it wants no more. */
    public interface Follower {
        boolean wanted();

        /** All changes up to a revision have been told, and so all that were made before a moment. */
        default void reached(long revision, long at) {}

        /** How long the service may wait for a change before it answers that there was none. */
        default long waitMs() {
            return FOLLOW_MS;
        }

        void changed(List<Change> changes);

        /** Changes were missed: everything has to be read again. */
        void outdated();
    }

    /**
     * Follows a prefix from a revision until the follower wants no more or is outdated.
     *
     * @param at a moment before which nothing was changed that the revision lacks
     */
    public void follow(String prefix, long since, long at, Follower follower) {
        if (!follower.wanted()) {
            return;
        }
        follower.reached(since, at);
        long sent = kernel.now();
        String path = "/follow?starts=" + prefix + "&since=" + since + "&hold_ms=" + follower.waitMs();
        calls.submit(Call.get(endpoint, path, follower.waitMs() + FOLLOW_SLACK_MS), 0, Urgency.FIRST, reply -> {
            if (!follower.wanted()) {
                return;
            }
            if (reply.status() == 410) {
                follower.outdated();
            } else if (reply.ok()) {
                JsonNode body = reply.json();
                List<Change> changes = new ArrayList<>();
                body.path("news").forEach(item -> changes.add(change(item)));
                if (!changes.isEmpty()) {
                    follower.changed(changes);
                }
                follow(prefix, body.path("store_rev").asLong(), sent, follower);
            } else {
                kernel.after(AWAY_MS / 2, () -> follow(prefix, since, at, follower));
            }
        });
    }

    private static Change change(JsonNode item) {
        boolean dropped = item.hasNonNull("drop");
        return new Change(
                item.path(dropped ? "drop" : "write").asText(),
                dropped ? null : item.path("data"),
                item.path("key_rev").asLong());
    }

    // ---- health

    // Users are refused at once while the service is away, so nothing else would find it back.
    private void probeSoon() {
        if (!probing) {
            probing = true;
            kernel.after(
                    AWAY_MS,
                    () -> calls.submit(
                            Call.get(endpoint, "/keys?starts=probe/&most=1", TIMEOUT_MS), 0, Urgency.FIRST, reply -> {
                                probing = false;
                                if (failingSince != Long.MAX_VALUE) {
                                    probeSoon();
                                }
                            }));
        }
    }

    private void noteHealth(Reply reply) {
        if (reply.status() == Reply.LOST || reply.status() == 503) {
            failingSince = Math.min(failingSince, kernel.now());
            probeSoon();
        } else {
            lastAnswered = kernel.now();
            failingSince = Long.MAX_VALUE;
        }
    }
}
