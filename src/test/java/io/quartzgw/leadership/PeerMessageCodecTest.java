package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.cancellation.CancellationAnnouncement;
import io.quartzgw.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
    private static final JsonNode COUNTS = Json.object().put("j-000002", 3);
    private static final JsonNode NOTICE = Json.object().put("revision", 9);
    private static final PeerMessage MESSAGE = new PeerMessage(
            new ControllerIdentity("rig-0", 17),
            5,
            new PeerStatus(2, 4_000, 41, 42, true, true),
            new CancellationAnnouncement(Map.of("j-000001", 250L), true),
            1.5,
            new PeerMessage.Attachments(Optional.of(COUNTS), Optional.of(NOTICE), OptionalDouble.of(0.5)));

    @Test
    void encodesFieldsInFixedOrder() {
        assertEquals(
                "{\"cancelled\":{\"j-000001\":250},\"cancelled_whole\":true,\"writes_wanted\":1.5,\"member\":\"rig-0\","
                        + "\"sequence\":5,\"workers\":2,\"process\":17,\"up_ms\":4000,\"leading\":41,\"term\":42,"
                        + "\"store\":true,\"leader_silent\":true,\"counts\":{\"j-000002\":3},\"notice\":{\"revision\":9},\"writes_lent\":0.5}",
                new String(Json.write(PeerMessageCodec.encode(MESSAGE)), StandardCharsets.UTF_8));
    }

    @Test
    void decodesEncodedMessage() {
        byte[] body = Json.writeCbor(PeerMessageCodec.encode(MESSAGE));
        assertEquals(Optional.of(MESSAGE), PeerMessageCodec.decode(body));
    }

    @Test
    void decodesMissingFieldsAsDefaults() {
        PeerMessage message = PeerMessageCodec.decode(Json.object().put("member", "rig-1"));
        assertEquals(new ControllerIdentity("rig-1", 0), message.sender());
        assertEquals(new PeerStatus(0, 0, 0, 0, false, false), message.status());
        assertEquals(new CancellationAnnouncement(Map.of(), false), message.cancellations());
        assertEquals(PeerMessage.Attachments.NONE, message.attachments());
    }

    @Test
    void returnsEmptyForBodyThatIsNotCbor() {
        assertTrue(PeerMessageCodec.decode(new byte[0]).isEmpty());
    }
}
