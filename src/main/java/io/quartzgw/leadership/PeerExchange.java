package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.PeerMessage.Attachments;
import io.quartzgw.store.StoreClient;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges messages with the other controllers: once a heartbeat with each, and at once after an event. They announce
 * which process runs, who leads with which term, whether the state store answers, cancelled jobs and the job counts.
 */
public final class PeerExchange {
    private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

    /** The path of the peer listener that messages are posted to. */
    public static final String PATH = "/peer";

    private static final int STALE_AFTER_HEARTBEATS = 4;
    private static final int RESPONSE_TIMEOUT_HEARTBEATS = 2;
    /** How many jobs a message may name: at 48 bytes each for the longest names, it stays below 64 KiB. */
    private static final int MAX_JOBS_PER_MESSAGE = 1_200;

    private final EventLoop eventLoop;
    private final LeadershipTiming timing;
    private final Map<String, Endpoint> endpoints;
    private final Leadership leadership;
    private final CancellationRegistry cancellations;
    private final CancellationWatermark watermark;
    private final WriteBudgetExchange writeBudget;
    private final PeerRegistry peers;
    private final RedirectedAgents redirectedAgents;
    private final UnresponsiveLeaderDetector unresponsiveLeaderDetector;
    private final PeerMessageFactory messages;
    private final Set<String> peersWithRequestInFlight = new HashSet<>();
    private PeerPayloads payloads = PeerPayloads.NONE;

    /** The parts of this controller whose state is announced to peers, and that learn from their messages. */
    public record Participants(
            Leadership leadership,
            StoreClient store,
            CancellationRegistry cancellations,
            CancellationWatermark watermark,
            WriteBudgetExchange writeBudget) {}

    /** @param endpoints the peer listeners of the other controllers, by member */
    public PeerExchange(
            EventLoop eventLoop,
            LeadershipTiming timing,
            ControllerIdentity identity,
            Map<String, Endpoint> endpoints,
            Participants participants) {
        this.eventLoop = eventLoop;
        this.timing = timing;
        this.endpoints = new LinkedHashMap<>(endpoints);
        this.leadership = participants.leadership();
        this.cancellations = participants.cancellations();
        this.watermark = participants.watermark();
        this.writeBudget = participants.writeBudget();
        long staleAfterMs = STALE_AFTER_HEARTBEATS * timing.heartbeatMs();
        this.peers = new PeerRegistry(eventLoop, staleAfterMs);
        this.redirectedAgents = new RedirectedAgents(eventLoop, timing.heartbeatMs());
        this.unresponsiveLeaderDetector = new UnresponsiveLeaderDetector(eventLoop, leadership, peers, timing);
        this.messages = new PeerMessageFactory(
                identity, participants, redirectedAgents, unresponsiveLeaderDetector, staleAfterMs);
    }

    /** Begins to send messages. */
    public void start(PeerPayloads peerPayloads) {
        this.payloads = peerPayloads;
        broadcast();
        eventLoop.every(timing.heartbeatMs(), () -> {
            redirectedAgents.probe();
            unresponsiveLeaderDetector.check();
            if (shouldDeposeLeader()) {
                leadership.deposeUnresponsiveLeader();
            }
            broadcast();
        });
    }

    // A leader that its agents reach serves them whomever else it reaches, so agents have to come here as well.
    private boolean shouldDeposeLeader() {
        if (!unresponsiveLeaderDetector.isLeaderUnresponsive()) {
            return false;
        }
        int agreeingControllers = 1 + peers.countReportingLeaderUnresponsive(leadership.highestTerm());
        int redirectedAgentCount = redirectedAgents.count();
        LOG.atDebug()
                .addKeyValue("term", leadership.highestTerm())
                .addKeyValue("agreeing_controllers", agreeingControllers)
                .addKeyValue("redirected_agents", redirectedAgentCount)
                .log("leader silent");
        int controllers = endpoints.size() + 1;
        return agreeingControllers > controllers / 2 && redirectedAgentCount > 0;
    }

    // ---- sending

    /** Sends a message to every peer at once, for example after this controller was elected. */
    public void broadcast() {
        writeBudget.measureDemand();
        PeerMessage status = messages.create();
        int maxJobs = Math.max(1, MAX_JOBS_PER_MESSAGE - status.cancellations().size());
        Optional<JsonNode> counts = payloads.countsSource().apply(maxJobs);
        counts.ifPresent(payloads.countsListener());
        PeerMessage message =
                counts.map(Attachments::ofJobCounts).map(status::with).orElse(status);
        endpoints.keySet().forEach(member -> send(member, message));
    }

    /** Sends a notice about a job to the leader, if another controller leads. */
    public void notifyLeader(JsonNode notice) {
        postToLeader(messages.create().with(Attachments.ofNotice(notice)));
    }

    /** Sends a message with the cancelled jobs to the leader at once, if another controller leads. */
    public void sendToLeader() {
        postToLeader(messages.create());
    }

    private void postToLeader(PeerMessage message) {
        leadership
                .leader()
                .map(endpoints::get)
                .ifPresent(endpoint -> eventLoop.call(
                        Call.postCbor(endpoint, PATH, PeerMessageCodec.encode(message), timing.heartbeatMs()),
                        reply -> {}));
    }

    private void send(String member, PeerMessage message) {
        // One message at a time to each peer: calls must not pile up while it can't be reached.
        if (!peersWithRequestInFlight.add(member)) {
            return;
        }
        long sentAtMs = eventLoop.nowMs();
        Optional<LeaderRecord> recordAtRequest = leadership.leaderRecord();
        Call call = Call.postCbor(
                endpoints.get(member),
                PATH,
                PeerMessageCodec.encode(message),
                RESPONSE_TIMEOUT_HEARTBEATS * timing.heartbeatMs());
        eventLoop.call(call, reply -> {
            peersWithRequestInFlight.remove(member);
            if (reply.ok()) {
                onResponse(member, PeerMessageCodec.decode(reply.cbor()), sentAtMs, recordAtRequest);
            }
        });
    }

    // ---- receiving

    /** Serves a peer's message. */
    public void serve(Request request) {
        Optional<PeerMessage> message = PeerMessageCodec.decode(request.body())
                .filter(received -> endpoints.containsKey(received.sender().member()));
        if (message.isPresent()) {
            PeerMessage response = receive(message.get());
            eventLoop.answer(request.exchange(), Response.cbor(PeerMessageCodec.encode(response)));
        } else {
            eventLoop.answer(request.exchange(), Response.error(400, "not a peer's message"));
        }
    }

    private PeerMessage receive(PeerMessage message) {
        // A message may be a late copy, of a process that has ended: it does not prove which process runs now. The
        // peer's answer to this controller's next message does.
        peers.findCurrentProcess(message.sender())
                .ifPresentOrElse(
                        peer -> applyCurrentState(peer, message),
                        () -> send(message.sender().member(), messages.create()));
        applyDurableFacts(message);
        message.attachments().notice().ifPresent(payloads.noticeListener());
        PeerMessage response = messages.create();
        return writeBudget
                .grantTo(message.sender().member(), message.writeDemandPerS())
                .map(Attachments::ofWriteGrant)
                .map(response::with)
                .orElse(response);
    }

    private void applyCurrentState(PeerState peer, PeerMessage message) {
        peer.applyStatus(message, eventLoop.nowMs());
        message.attachments()
                .jobCounts()
                .filter(counts -> peer.acceptCounts(message))
                .ifPresent(payloads.countsListener());
    }

    // An answer was made after the message that it answers was sent, so it proves which process runs.
    private void onResponse(
            String member, PeerMessage response, long sentAtMs, Optional<LeaderRecord> recordAtRequest) {
        ControllerIdentity peer =
                new ControllerIdentity(member, response.sender().process());
        peers.observeProcess(peer).applyStatus(response, eventLoop.nowMs());
        response.attachments().writeGrantPerS().ifPresent(writesPerS -> writeBudget.applyGrant(writesPerS, sentAtMs));
        applyDurableFacts(response);
        watermark.recordPeerAnswer(
                member,
                peer.process(),
                response.status().uptimeMs(),
                sentAtMs,
                response.cancellations().complete());
        leadership.recordPeerProcess(peer, recordAtRequest);
    }

    /** Applies what stays true, however late it comes: cancellations, and that a term was reached. */
    private void applyDurableFacts(PeerMessage message) {
        cancellations.recordAll(message.cancellations());
        leadership.observeTerm(message.status().highestTerm());
    }

    // ---- the peers' state

    /** Whether every other controller has announced that it answers agents with no term below this one. */
    public boolean allAcknowledgedTerm(long term) {
        return peers.allAcknowledged(endpoints.keySet(), term);
    }

    /** Records that an agent sent its heartbeat to this controller while another one leads, or none. */
    public void recordRedirectedAgent(String machine, Endpoint address) {
        redirectedAgents.add(machine, address);
    }

    /** The most agents that one other controller has lately turned away and can reach. */
    public int agentsReachingOthers() {
        return peers.maxRedirectedAgents();
    }

    /** Whether the state store lately answered some other controller. */
    public boolean anotherPeerReachesStore() {
        return peers.anyReachesStore();
    }
}
