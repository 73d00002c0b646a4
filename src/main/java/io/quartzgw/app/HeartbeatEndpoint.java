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
 * Serves agents' heartbeats. The leader answers them, for as long as it may renew their leases; every other controller
 * names the leader and remembers whom it redirected.
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
     * @param leaderRuntime what this controller does as the leader, while it leads
     */
    HeartbeatEndpoint(
            EventLoop eventLoop,
            Leadership leadership,
            PeerExchange peers,
            String member,
            Supplier<Optional<LeaderRuntime>> leader) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.peers = peers;
        this.member = member;
        this.leaderRuntime = leader;
    }

    void serve(Request request) {
        Optional<Heartbeat> decoded = HeartbeatCodec.decode(request.body());
        if (decoded.isEmpty()) {
            eventLoop.answer(request.exchange(), Response.error(BAD_REQUEST, "not a report"));
            return;
        }
        Heartbeat heartbeat = decoded.get();
        // Before anything else: a higher token than this leader's ends its leadership.
        leadership.observeTerm(heartbeat.fencingToken());
        Optional<LeaderRuntime> leading = leaderRuntime.get().filter(runtime -> leadership.mayRenewAgentLeases());
        if (leading.isPresent()) {
            ReceivedHeartbeat received = leading.get().receive(heartbeat);
            // Later in this batch a job may be cancelled, a task may be stopped, or the term may end.
            eventLoop.afterCommands(() -> respond(request.exchange(), leading.get(), received));
        } else {
            redirectAgent(request.exchange(), heartbeat);
        }
    }

    private void respond(long exchange, LeaderRuntime receiver, ReceivedHeartbeat received) {
        boolean stillLeading = leaderRuntime.get().filter(receiver::equals).isPresent();
        if (stillLeading && leadership.mayRenewAgentLeases()) {
            sendResponse(exchange, receiver.respond(received));
        } else {
            redirectAgent(exchange, received.heartbeat());
        }
    }

    private void redirectAgent(long exchange, Heartbeat heartbeat) {
        peers.recordRedirectedAgent(heartbeat.machine(), heartbeat.address());
        eventLoop.answer(exchange, redirectResponse());
    }

    private void sendResponse(long exchange, HeartbeatResponse response) {
        // The process may be paused before the response leaves.
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
