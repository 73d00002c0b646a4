package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks encoded requests and decoded responses against the state service's protocol. */
class StoreCodecTest {
    private final StoreCodec codec = new StoreCodec(new Endpoint("10.2.0.1", 1));

    private static Reply reply(int status, String body) {
        return new Reply(status, body.getBytes(StandardCharsets.UTF_8));
    }

    private static String body(Call call) {
        return new String(call.body(), StandardCharsets.UTF_8);
    }

    @Test
    void encodesGuardsBeforeWrites() {
        Transaction transaction = new Transaction()
                .require("a", 3)
                .putWithLease("a", Json.object().put("x", 1), 9)
                .put("b", Json.object())
                .delete("c");
        assertEquals(
                "{\"guards\":[{\"path\":\"a\",\"key_rev\":3}],\"apply\":["
                        + "{\"write\":\"a\",\"data\":{\"x\":1},\"permit\":9},{\"write\":\"b\",\"data\":{}},{\"drop\":\"c\"}]}",
                body(codec.transactionRequest(transaction)));
    }

    @Test
    void omitsWriteListWithoutWrites() {
        assertEquals(
                "{\"guards\":[{\"path\":\"a\",\"key_rev\":0}]}",
                body(codec.transactionRequest(new Transaction().require("a", Transaction.NO_REVISION))));
    }

    @Test
    void decodesTransactionOutcomeByStatus() {
        assertEquals(new TransactionOutcome.Committed(7), StoreCodec.decodeOutcome(reply(200, "{\"store_rev\":7}")));
        assertEquals(
                new TransactionOutcome.Conflict(Set.of("a", "b")),
                StoreCodec.decodeOutcome(reply(409, "{\"failed\":[\"a\",\"b\"]}")));
        assertEquals(
                new TransactionOutcome.LeaseExpired(),
                StoreCodec.decodeOutcome(reply(400, "{\"error\":\"no such lease\"}")));
        assertEquals(new TransactionOutcome.Refused(), StoreCodec.decodeOutcome(reply(429, "{}")));
        assertEquals(new TransactionOutcome.Refused(), StoreCodec.decodeOutcome(reply(503, "{}")));
        assertEquals(new TransactionOutcome.Unknown(), StoreCodec.decodeOutcome(Reply.unanswered()));
    }

    @Test
    void decodesReadResultByStatus() {
        ReadResult found = StoreCodec.decodeRead(reply(200, "{\"path\":\"a\",\"data\":{\"x\":1},\"key_rev\":4}"));
        assertEquals(new ReadResult.Found(new KeyValue("a", Json.object().put("x", 1), 4)), found);
        assertEquals(new ReadResult.Absent(), StoreCodec.decodeRead(reply(404, "{}")));
        assertEquals(new ReadResult.Unavailable(), StoreCodec.decodeRead(reply(503, "{}")));
        assertEquals(new ReadResult.Unavailable(), StoreCodec.decodeRead(Reply.unanswered()));
    }

    @Test
    void requestsNextPageAfterLastKey() {
        assertEquals(
                "/keys?starts=p/&most=1000",
                codec.pageRequest("p/", Optional.empty()).path());
        assertEquals(
                "/keys?starts=p/&since=p/3&most=1000",
                codec.pageRequest("p/", Optional.of("p/3")).path());
    }

    @Test
    void decodesLeaseResultsByStatus() {
        assertEquals(new LeaseGrant.Granted(5), StoreCodec.decodeLease(reply(200, "{\"permit\":5}")));
        assertEquals(new LeaseGrant.Unavailable(), StoreCodec.decodeLease(reply(503, "{}")));
        assertEquals(LeaseRenewal.RENEWED, StoreCodec.decodeRenewal(reply(200, "{}")));
        assertEquals(LeaseRenewal.EXPIRED, StoreCodec.decodeRenewal(reply(404, "{}")));
        assertEquals(LeaseRenewal.UNKNOWN, StoreCodec.decodeRenewal(Reply.unanswered()));
    }

    @Test
    void decodesWatchResponseByStatus() {
        StoreCodec.WatchResponse.Changes response = assertInstanceOf(
                StoreCodec.WatchResponse.Changes.class,
                StoreCodec.decodeWatch(reply(
                        200,
                        "{\"store_rev\":8,\"news\":[{\"write\":\"a\",\"data\":{},\"key_rev\":7},"
                                + "{\"drop\":\"b\",\"key_rev\":8}]}")));
        assertEquals(8, response.revision());
        assertEquals(List.of(new KeyChange("a", Json.object(), 7), new KeyChange("b", null, 8)), response.changes());
        assertEquals(Optional.empty(), response.changes().get(1).newValue());
        assertInstanceOf(StoreCodec.WatchResponse.Compacted.class, StoreCodec.decodeWatch(reply(410, "{}")));
        assertInstanceOf(StoreCodec.WatchResponse.Unavailable.class, StoreCodec.decodeWatch(Reply.unanswered()));
    }
}
