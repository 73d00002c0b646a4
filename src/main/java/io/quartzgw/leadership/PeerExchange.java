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
 * Exchanges messages with the other controllers, once per heartbeat interval and immediately after certain events. A
 * message announces the sender's process, its term, whether the state service responds, the cancelled jobs and the job
 * counts.
 */
public final class PeerExchange {
    private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

    /** The path of the peer listener to which messages are posted. */
    public static final String PATH = "/peer";

    private static final int STALE_AFTER_HEARTBEATS = 4;
    private static final int RESPONSE_TIMEOUT_HEARTBEATS = 2;
    /** The maximum number of jobs in a message. At 48 bytes for each of the longest names it stays below 64 KiB. */
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

    /** The components of this controller whose state is announced to peers, or that process their messages. */
    public record Participants(
            Leadership leadership,
            StoreClient store,
            CancellationRegistry cancellations,
            CancellationWatermark watermark,
            WriteBudgetExchange writeBudget) {}

    /** @param endpoints the peer listeners of the other controllers by name */
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

    /** Starts sending messages. */
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

    // A leader that its agents reach still serves them, even if it is isolated from the other controllers. So it is
    // deposed only if agents contact this controller as well.
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
                .log("leader unresponsive");
        int controllers = endpoints.size() + 1;
        return agreeingControllers > controllers / 2 && redirectedAgentCount > 0;
    }

    // ---- sending

    /** Sends a message to every peer immediately, for example after this controller was elected. */
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

    /** Sends a message with the cancelled jobs to the leader immediately, if another controller leads. */
    public void sendCancellationsToLeader() {
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
        // Only one request per peer is in flight, so that requests don't accumulate while a peer is unreachable.
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

    /** Handles a message of a peer. */
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
        // A message may be a delayed copy from a process that has terminated, so it does not prove which process runs
        // now. The peer's response to the next message of this controller does.
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

    // A response was created after the request was sent, so it proves which process runs.
    private void onResponse(
            String member, PeerMessage response, long sentAtMs, Optional<LeaderRecord> recordAtRequest) {
        ControllerIdentity peer =
                new ControllerIdentity(member, response.sender().process());
        peers.observeProcess(peer).applyStatus(response, eventLoop.nowMs());
        response.attachments().writeGrantPerS().ifPresent(writesPerS -> writeBudget.applyGrant(writesPerS, sentAtMs));
        applyDurableFacts(response);
        watermark.recordPeerResponse(
                member,
                peer.process(),
                response.status().uptimeMs(),
                sentAtMs,
                response.cancellations().complete());
        leadership.recordPeerProcess(peer, recordAtRequest);
    }

    /** Applies the facts that remain true if the message is delayed: cancellations and observed terms. */
    private void applyDurableFacts(PeerMessage message) {
        cancellations.recordAll(message.cancellations());
        leadership.observeTerm(message.status().highestTerm());
    }

    // ---- state of the peers

    /** Returns whether every other controller has announced that it no longer answers agents in a lower term. */
    public boolean allAcknowledgedTerm(long term) {
        return peers.allAcknowledged(endpoints.keySet(), term);
    }

    /** Records that an agent sent its heartbeat to this controller, which does not lead. */
    public void recordRedirectedAgent(String machine, Endpoint address) {
        redirectedAgents.add(machine, address);
    }

    /** Returns the highest number of agents that a single peer recently redirected and can reach. */
    public int maxRedirectedAgentsOfPeers() {
        return peers.maxRedirectedAgents();
    }

    /** Returns whether the state service recently responded to any other controller. */
    public boolean anyPeerReachesStore() {
        return peers.anyReachesStore();
    }
}
