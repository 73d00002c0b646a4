package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.store.StoreClient;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * What controllers tell each other, in CBOR: who runs as which process, who leads with which term, whether the state
 * service answers, and the leader's counts for display.
 */
public final class PeerExchange {
    public static final String PATH = "/peer";
    private static final int STALE_AFTER_HEARTBEATS = 4;
    /** How many jobs a message may name: at 48 bytes each for the longest names, it stays below 64 KiB. */
    private static final int MAX_JOBS_PER_MESSAGE = 1_200;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final StoreClient store;
    private final LeadershipTiming timing;
    private final String member;
    private final long process;
    private final Map<String, Endpoint> endpoints;
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Set<String> awaitingAnswer = new HashSet<>();
    private final RedirectedAgents redirectedAgents;
    private final CancellationRegistry cancellations;
    private final CancellationWatermark watermark;
    private final WriteBudgetExchange writeBudget;
    private long lastSequence;
    private IntFunction<JsonNode> countsSource = most -> null;
    private Consumer<JsonNode> countsListener = counts -> {};
    private Consumer<JsonNode> noticeListener = notice -> {};

    /** The last that a peer told. */
    private static final class PeerState {
        private long heardAt;
        /** The number of its process's newest message. */
        private long statusSequence;
        /** The number of its newest message that had counts. */
        private long countsSequence;

        private boolean storeReachable;
        private int redirectedAgents;
        private long process;
        /** The highest term of others that the peer has seen, and so no longer answers below. */
        private long acknowledgedTerm;
    }

    /** @param endpoints the peer listeners of the other controllers, by member */
    public PeerExchange(
            EventLoop eventLoop,
            Leadership leadership,
            StoreClient store,
            LeadershipTiming timing,
            String member,
            long process,
            Map<String, Endpoint> others,
            CancellationRegistry cancellations,
            CancellationWatermark watermark,
            WriteBudgetExchange shares) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.store = store;
        this.timing = timing;
        this.member = member;
        this.process = process;
        this.endpoints = new LinkedHashMap<>(others);
        this.cancellations = cancellations;
        this.watermark = watermark;
        this.writeBudget = shares;
        this.redirectedAgents = new RedirectedAgents(eventLoop, timing.heartbeatMs());
    }

    /**
     * @param countsSource a page of the leader's counts, of so many jobs at the most, or null when this node has none
     * @param countsListener receives each page of the leader's counts, this node's own as well
     * @param noticeListener receives a peer's notice about a job
     */
    public void start(
            IntFunction<JsonNode> countsSource, Consumer<JsonNode> countsListener, Consumer<JsonNode> noticeListener) {
        this.countsSource = countsSource;
        this.countsListener = countsListener;
        this.noticeListener = noticeListener;
        broadcast();
        eventLoop.every(timing.heartbeatMs(), () -> {
            redirectedAgents.probe();
            broadcast();
        });
    }

    /** Tells every peer at once, for example that this node has been elected. */
    public void broadcast() {
        writeBudget.measureDemand();
        ObjectNode message = message();
        JsonNode counts =
                countsSource.apply(Math.max(1, MAX_JOBS_PER_MESSAGE - CancellationRegistry.announcedCount(message)));
        if (counts != null) {
            countsListener.accept(counts);
            message.set("counts", counts);
        }
        endpoints.forEach((name, endpoint) -> send(name, endpoint, message));
    }

    /** Hands a notice about a job to the leader, if another node leads. */
    public void notifyLeader(ObjectNode notice) {
        postToLeader(message().set("notice", notice));
    }

    /** Tells the leader at once, if another node leads, what every message says: which jobs are cancelled. */
    public void sendToLeader() {
        postToLeader(message());
    }

    private void postToLeader(ObjectNode message) {
        String leader = leadership.leaderMember();
        Endpoint endpoint = leader == null ? null : endpoints.get(leader);
        if (endpoint != null) {
            eventLoop.call(Call.postCbor(endpoint, PATH, message, timing.heartbeatMs()), reply -> {});
        }
    }

    /** Whether every other controller has said that it answers workers with no term below this one. */
    public boolean allAcknowledgedTerm(long term) {
        return endpoints.keySet().stream()
                .allMatch(name -> peers.containsKey(name) && peers.get(name).acknowledgedTerm >= term);
    }

    /** Notes that a worker reported to this node while another one leads, or none. */
    public void redirectedAgents(String machine, Endpoint address) {
        redirectedAgents.add(machine, address);
    }

    /** How many workers some other controller, heard of lately, has turned away lately and reaches. */
    public int agentsReachingOthers() {
        return peers.values().stream()
                .filter(this::isRecent)
                .mapToInt(peer -> peer.redirectedAgents)
                .max()
                .orElse(0);
    }

    private boolean isRecent(PeerState peer) {
        return eventLoop.nowMs() - peer.heardAt <= STALE_AFTER_HEARTBEATS * timing.heartbeatMs();
    }

    /** Whether some other controller, heard of lately, reaches the state service. */
    public boolean anotherPeerReachesStore() {
        return peers.values().stream().anyMatch(peer -> peer.storeReachable && isRecent(peer));
    }

    /** Serves a peer's message. */
    public void serve(Request request) {
        JsonNode message = Json.readCborOrNull(request.body());
        if (message == null || !endpoints.containsKey(message.path("member").asText())) {
            eventLoop.answer(request.exchange(), Response.error(400, "not a peer's message"));
            return;
        }
        // A message may be a late copy, from a process that is gone: it does not show who runs now. The peer's
        // answer to this node's next message does.
        String name = message.path("member").asText();
        PeerState peer = peers.get(name);
        boolean present =
                peer != null && peer.process == message.path("process").asLong();
        if (present) {
            applyStatus(peer, message);
            applyCounts(peer, message);
        }
        if (!present) {
            send(name, endpoints.get(name), message());
        }
        applyDurableFacts(message);
        if (message.has("notice")) {
            noticeListener.accept(message.get("notice"));
        }
        ObjectNode answer = message();
        writeBudget.addGrant(name, message, answer);
        eventLoop.answer(request.exchange(), Response.cbor(answer));
    }

    private void send(String name, Endpoint endpoint, ObjectNode message) {
        // One message at a time to each: a cut must not pile up calls.
        if (awaitingAnswer.add(name)) {
            long sentAt = eventLoop.nowMs();
            Optional<LeaderRecord> recordWhenAsked = leadership.leaderRecord();
            eventLoop.call(Call.postCbor(endpoint, PATH, message, 2 * timing.heartbeatMs()), reply -> {
                awaitingAnswer.remove(name);
                if (reply.ok()) {
                    onAnswer(name, reply.cbor(), sentAt, recordWhenAsked);
                }
            });
        }
    }

    private ObjectNode message() {
        ObjectNode state = Json.object();
        cancellations.writeTo(state);
        writeBudget.addDemand(state);
        return state.put("member", member)
                .put("sequence", ++lastSequence)
                .put("workers", redirectedAgents.count())
                .put("process", process)
                .put("up_ms", watermark.uptimeMs())
                .put("leading", leadership.leading() ? leadership.term() : 0)
                .put("term", leadership.highestTerm())
                .put(
                        "store",
                        store.reachable() && store.respondedWithin(STALE_AFTER_HEARTBEATS * timing.heartbeatMs()));
    }

    // An answer was made after the message that it answers was sent, so it tells who runs.
    private void onAnswer(String name, JsonNode answer, long sentAt, Optional<LeaderRecord> recordWhenAsked) {
        long processId = answer.path("process").asLong();
        PeerState peer = peers.computeIfAbsent(name, key -> new PeerState());
        if (peer.process != processId) {
            peer.process = processId;
            peer.statusSequence = 0;
            peer.countsSequence = 0;
        }
        applyStatus(peer, answer);
        writeBudget.applyGrant(answer, sentAt);
        boolean complete = applyDurableFacts(answer);
        watermark.peerAnswered(name, processId, answer.path("up_ms").asLong(), sentAt, complete);
        leadership.observePeerProcess(new ControllerIdentity(name, processId), recordWhenAsked);
    }

    // Answers have no counts: one that overtakes the leader's message on its way must not make it look old, or
    // two controllers that beat in step would never hear of the counts.
    private void applyCounts(PeerState peer, JsonNode message) {
        if (message.has("counts") && message.path("sequence").asLong() > peer.countsSequence) {
            peer.countsSequence = message.path("sequence").asLong();
            countsListener.accept(message.get("counts"));
        }
    }

    /** Takes what a message says of the present, unless a newer one has said it. */
    private void applyStatus(PeerState peer, JsonNode message) {
        if (message.path("sequence").asLong() <= peer.statusSequence) {
            return;
        }
        peer.statusSequence = message.path("sequence").asLong();
        peer.heardAt = eventLoop.nowMs();
        peer.redirectedAgents = message.path("workers").asInt();
        peer.storeReachable = message.path("store").asBoolean();
        peer.acknowledgedTerm =
                Math.max(peer.acknowledgedTerm, message.path("term").asLong());
    }

    /**
     * Takes what stays true, however late it comes: cancellations, and that a term was reached. Says whether all
     * cancellations were named.
     */
    private boolean applyDurableFacts(JsonNode message) {
        boolean complete = cancellations.readFrom(message);
        leadership.observeTerm(message.path("term").asLong());
        return complete;
    }
}
