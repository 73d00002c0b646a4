package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationAnnouncementCodec;
import io.quartzgw.http.Json;
import java.util.Optional;
import java.util.OptionalDouble;

/** Encodes and decodes messages between controllers. Names and order of the fields are part of the message format. */
final class PeerMessageCodec {
    private static final String WRITE_DEMAND = "writes_wanted";
    private static final String MEMBER = "member";
    private static final String SEQUENCE = "sequence";
    private static final String REDIRECTED_AGENTS = "workers";
    private static final String PROCESS = "process";
    private static final String UPTIME_MS = "up_ms";
    private static final String LED_TERM = "leading";
    private static final String HIGHEST_TERM = "term";
    private static final String STORE_REACHABLE = "store";
    /** Present only if true. */
    private static final String LEADER_UNRESPONSIVE = "leader_silent";

    private static final String JOB_COUNTS = "counts";
    private static final String NOTICE = "notice";
    private static final String WRITE_GRANT = "writes_lent";

    private PeerMessageCodec() {}

    static ObjectNode encode(PeerMessage message) {
        ObjectNode node = Json.object();
        CancellationAnnouncementCodec.encode(message.cancellations(), node);
        PeerStatus status = message.status();
        node.put(WRITE_DEMAND, message.writeDemandPerS())
                .put(MEMBER, message.sender().member())
                .put(SEQUENCE, message.sequence())
                .put(REDIRECTED_AGENTS, status.redirectedAgents())
                .put(PROCESS, message.sender().process())
                .put(UPTIME_MS, status.uptimeMs())
                .put(LED_TERM, status.ledTerm())
                .put(HIGHEST_TERM, status.highestTerm())
                .put(STORE_REACHABLE, status.storeReachable());
        if (status.leaderUnresponsive()) {
            node.put(LEADER_UNRESPONSIVE, true);
        }
        PeerMessage.Attachments attachments = message.attachments();
        attachments.jobCounts().ifPresent(counts -> node.set(JOB_COUNTS, counts));
        attachments.notice().ifPresent(notice -> node.set(NOTICE, notice));
        attachments.writeGrantPerS().ifPresent(writesPerS -> node.put(WRITE_GRANT, writesPerS));
        return node;
    }

    /** Returns the message in a request body; empty if the body is not CBOR. */
    static Optional<PeerMessage> decode(byte[] body) {
        return Optional.ofNullable(Json.readCborOrNull(body)).map(PeerMessageCodec::decode);
    }

    /** Decodes a message. Missing fields are decoded as 0, false or empty. */
    static PeerMessage decode(JsonNode node) {
        ControllerIdentity sender = new ControllerIdentity(
                node.path(MEMBER).asText(), node.path(PROCESS).asLong());
        PeerStatus status = new PeerStatus(
                node.path(REDIRECTED_AGENTS).asInt(),
                node.path(UPTIME_MS).asLong(),
                node.path(LED_TERM).asLong(),
                node.path(HIGHEST_TERM).asLong(),
                node.path(STORE_REACHABLE).asBoolean(),
                node.path(LEADER_UNRESPONSIVE).asBoolean());
        PeerMessage.Attachments attachments = new PeerMessage.Attachments(
                Optional.ofNullable(node.get(JOB_COUNTS)),
                Optional.ofNullable(node.get(NOTICE)),
                node.has(WRITE_GRANT) ? OptionalDouble.of(node.path(WRITE_GRANT).asDouble()) : OptionalDouble.empty());
        return new PeerMessage(
                sender,
                node.path(SEQUENCE).asLong(),
                status,
                CancellationAnnouncementCodec.decode(node),
                node.path(WRITE_DEMAND).asDouble(),
                attachments);
    }
}
