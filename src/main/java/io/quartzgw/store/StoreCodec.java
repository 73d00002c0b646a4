package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes requests and decodes responses of the state service's protocol. Only this class uses the protocol's own
 * terms: a permit or hold is a lease, guards are preconditions, and follow is a watch.
 */
final class StoreCodec {
    private static final Logger LOG = LoggerFactory.getLogger(StoreCodec.class);

    private static final String NO_SUCH_LEASE = "no such lease";
    private static final int LIST_PAGE_SIZE = 1000;
    private static final int CALL_TIMEOUT_MS = 1_500;
    /** Added to the service's polling time to give the timeout of a watch request. */
    private static final int WATCH_TIMEOUT_SLACK_MS = 3_000;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int COMPACTED = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Endpoint endpoint;

    StoreCodec(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    // ---- reads

    Call readRequest(String key) {
        return Call.get(endpoint, "/keys/" + key, CALL_TIMEOUT_MS);
    }

    static ReadResult decodeRead(Reply reply) {
        if (reply.ok()) {
            return new ReadResult.Found(decodeEntry(reply.json()));
        }
        return reply.status() == NOT_FOUND ? new ReadResult.Absent() : new ReadResult.Unavailable();
    }

    /** @param afterKey the last key of the previous page; empty for the first page */
    Call pageRequest(String prefix, Optional<String> afterKey) {
        String since = afterKey.map(key -> "&since=" + key).orElse("");
        return Call.get(endpoint, "/keys?starts=" + prefix + since + "&most=" + LIST_PAGE_SIZE, CALL_TIMEOUT_MS);
    }

    /**
     * One page of a listing.
     *
     * @param revision the revision of the store when the page was read
     * @param more whether further pages follow
     */
    record Page(List<KeyValue> entries, long revision, boolean more) {}

    static Page decodePage(Reply reply) {
        JsonNode body = reply.json();
        List<KeyValue> entries = new ArrayList<>();
        body.path("items").forEach(item -> entries.add(decodeEntry(item)));
        return new Page(
                entries, body.path("store_rev").asLong(), body.path("more").asBoolean());
    }

    private static KeyValue decodeEntry(JsonNode item) {
        return new KeyValue(
                item.path("path").asText(),
                item.path("data"),
                item.path("key_rev").asLong());
    }

    /** An inexpensive request: lists a prefix that has no keys. */
    Call probeRequest() {
        return Call.get(endpoint, "/keys?starts=probe/&most=1", CALL_TIMEOUT_MS);
    }

    // ---- transactions

    Call transactionRequest(Transaction transaction) {
        ObjectNode body = Json.object();
        ArrayNode guards = body.putArray("guards");
        transaction
                .preconditions()
                .forEach(guard -> guards.addObject().put("path", guard.key()).put("key_rev", guard.revision()));
        // A transaction without writes only checks its preconditions.
        if (transaction.writeCount() > 0) {
            ArrayNode apply = body.putArray("apply");
            transaction.writes().forEach(write -> encodeWrite(write, apply.addObject()));
        }
        return Call.post(endpoint, "/multi", body, CALL_TIMEOUT_MS);
    }

    private static void encodeWrite(Transaction.Write write, ObjectNode change) {
        if (write instanceof Transaction.Put put) {
            change.put("write", put.key());
            change.set("data", put.value());
            put.leaseId().ifPresent(leaseId -> change.put("permit", leaseId));
        } else {
            change.put("drop", write.key());
        }
    }

    static TransactionOutcome decodeOutcome(Reply reply) {
        return switch (reply.status()) {
            case OK ->
                new TransactionOutcome.Committed(reply.json().path("store_rev").asLong());
            case CONFLICT -> new TransactionOutcome.Conflict(decodeFailedKeys(reply.json()));
            case BAD_REQUEST -> {
                logUnlessLeaseExpired(reply.json());
                yield new TransactionOutcome.LeaseExpired();
            }
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> new TransactionOutcome.Refused();
            default -> new TransactionOutcome.Unknown();
        };
    }

    private static Set<String> decodeFailedKeys(JsonNode body) {
        Set<String> failedKeys = new HashSet<>();
        body.path("failed").forEach(key -> failedKeys.add(key.asText()));
        return failedKeys;
    }

    private static void logUnlessLeaseExpired(JsonNode body) {
        if (!body.path("error").asText().equals(NO_SUCH_LEASE)) {
            LOG.atError().addKeyValue("response", body).log("store transaction rejected");
        }
    }

    // ---- leases

    Call leaseRequest(long ttlMs) {
        return Call.post(endpoint, "/holds", Json.object().put("life_ms", ttlMs), CALL_TIMEOUT_MS);
    }

    static LeaseGrant decodeLease(Reply reply) {
        return reply.ok() ? new LeaseGrant.Granted(reply.json().path("permit").asLong()) : new LeaseGrant.Unavailable();
    }

    Call renewalRequest(long leaseId) {
        return Call.post(endpoint, "/holds/" + leaseId + "/extend", Json.object(), CALL_TIMEOUT_MS);
    }

    static LeaseRenewal decodeRenewal(Reply reply) {
        if (reply.ok()) {
            return LeaseRenewal.RENEWED;
        }
        return reply.status() == NOT_FOUND ? LeaseRenewal.EXPIRED : LeaseRenewal.UNKNOWN;
    }

    Call revocationRequest(long leaseId) {
        return Call.delete(endpoint, "/holds/" + leaseId, CALL_TIMEOUT_MS);
    }

    // ---- watches

    /** @param pollMs how long the service may wait for a change before it returns an empty response */
    Call watchRequest(String prefix, long fromRevision, long pollMs) {
        return Call.get(
                endpoint,
                "/follow?starts=" + prefix + "&since=" + fromRevision + "&hold_ms=" + pollMs,
                pollMs + WATCH_TIMEOUT_SLACK_MS);
    }

    /** The response to one poll of a watch. */
    sealed interface WatchResponse {

        /**
         * The changes since the requested revision; there may be none.
         *
         * @param revision the revision up to which the changes are complete
         */
        record Changes(List<KeyChange> changes, long revision) implements WatchResponse {}

        /** The service has compacted changes since the requested revision. */
        record Compacted() implements WatchResponse {}

        /** The service rejected the request or did not respond. */
        record Unavailable() implements WatchResponse {}
    }

    static WatchResponse decodeWatch(Reply reply) {
        if (reply.status() == COMPACTED) {
            return new WatchResponse.Compacted();
        }
        if (!reply.ok()) {
            return new WatchResponse.Unavailable();
        }
        JsonNode body = reply.json();
        List<KeyChange> changes = new ArrayList<>();
        body.path("news").forEach(item -> changes.add(decodeChange(item)));
        return new WatchResponse.Changes(changes, body.path("store_rev").asLong());
    }

    private static KeyChange decodeChange(JsonNode item) {
        boolean deleted = item.hasNonNull("drop");
        return new KeyChange(
                item.path(deleted ? "drop" : "write").asText(),
                deleted ? null : item.path("data"),
                item.path("key_rev").asLong());
    }
}
