package io.quartzgw.app;

import io.quartzgw.agent.Heartbeat;
import io.quartzgw.agent.HeartbeatCodec;
import io.quartzgw.agent.HeartbeatResponse;
import io.quartzgw.agent.HeartbeatResponseCodec;
import io.quartzgw.agent.ReceivedHeartbeat;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.PeerExchange;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Serves agents' heartbeats. The leader responds as long as it may renew the agents' leases. Every other controller
 * redirects agents to the leader, and records which agents it has redirected.
 */
final class HeartbeatEndpoint {
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int BAD_REQUEST = 400;
    private static final int OK = 200;
    private static final int RETRY_AFTER_S = 1;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final PeerExchange peers;
    private final String member;
    private final Supplier<Optional<LeaderRuntime>> leaderRuntime;

    /**
     * @param member this controller's name
     * @param leaderRuntime the runtime of the current term; empty while this controller is not the leader
     */
    HeartbeatEndpoint(
            EventLoop eventLoop,
            Leadership leadership,
            PeerExchange peers,
            String member,
            Supplier<Optional<LeaderRuntime>> leaderRuntime) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.peers = peers;
        this.member = member;
        this.leaderRuntime = leaderRuntime;
    }

    void serve(Request request) {
        Optional<Heartbeat> decoded = HeartbeatCodec.decode(request.body());
        if (decoded.isEmpty()) {
            eventLoop.answer(request.exchange(), Response.error(BAD_REQUEST, "not a report"));
            return;
        }
        Heartbeat heartbeat = decoded.get();
        // Must come first: a fencing token above this leader's term ends its leadership.
        leadership.observeTerm(heartbeat.fencingToken());
        Optional<LeaderRuntime> runtime = leaderRuntime.get().filter(current -> leadership.mayRenewAgentLeases());
        if (runtime.isPresent()) {
            ReceivedHeartbeat received = runtime.get().receive(heartbeat);
            // Deferred, since a job may be cancelled, a task stopped, or the term may end later in this batch.
            eventLoop.afterEvents(() -> respond(request.exchange(), runtime.get(), received));
        } else {
            redirectAgent(request.exchange(), heartbeat);
        }
    }

    private void respond(long exchange, LeaderRuntime receivingRuntime, ReceivedHeartbeat received) {
        boolean stillLeading =
                leaderRuntime.get().filter(receivingRuntime::equals).isPresent();
        if (stillLeading && leadership.mayRenewAgentLeases()) {
            sendResponse(exchange, receivingRuntime.respond(received));
        } else {
            redirectAgent(exchange, received.heartbeat());
        }
    }

    private void redirectAgent(long exchange, Heartbeat heartbeat) {
        peers.recordRedirectedAgent(heartbeat.machine(), heartbeat.address());
        eventLoop.answer(exchange, redirectResponse());
    }

    private void sendResponse(long exchange, HeartbeatResponse response) {
        // A response with starts expires with the leader's confirmation: the process may be paused before it is sent.
        long validUntilMs = response.startsTasks() ? leadership.confirmedUntilMs() : Effect.ALWAYS_VALID;
        eventLoop.answer(exchange, Response.json(OK, HeartbeatResponseCodec.encode(response)), validUntilMs);
    }

    private Response redirectResponse() {
        return leadership
                .leader()
                .filter(leaderMember -> !leaderMember.equals(member))
                .map(leaderMember ->
                        Response.json(MISDIRECTED_REQUEST, Json.object().put("home_controller", leaderMember)))
                .orElseGet(() -> Response.unavailable("no leader", RETRY_AFTER_S));
    }
}
