package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.submission.SubmissionHandler;
import java.util.function.Consumer;

/**
 * Routes each inbound request by its listener, path and method. Answers requests with an unknown path or a wrong method
 * itself.
 */
final class RequestRouter {
    private static final String READINESS_PATH = "/ready";
    private static final String HEARTBEAT_PATH = "/hello";
    private static final String METRICS_PATH = "/metrics";
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final EventLoop eventLoop;
    private final Handlers handlers;

    /**
     * Request handlers by path.
     *
     * @param submissions serves users' requests about jobs, and checks their methods itself
     * @param heartbeat serves agents' heartbeats
     * @param readiness serves the load balancer's health checks
     * @param peer handlers of the peer listener
     */
    record Handlers(
            Consumer<Request> submissions,
            Consumer<Request> heartbeat,
            Consumer<Request> readiness,
            PeerHandlers peer) {}

    /**
     * Request handlers of the peer listener by path.
     *
     * @param peerMessage serves messages of other controllers
     * @param metrics serves operators' requests for metrics
     */
    record PeerHandlers(Consumer<Request> peerMessage, Consumer<Request> metrics) {}

    RequestRouter(EventLoop eventLoop, Handlers handlers) {
        this.eventLoop = eventLoop;
        this.handlers = handlers;
    }

    /** Routes a request. Each request is answered exactly once, immediately or later. */
    void route(Request request) {
        if (request.listener() == ListenerKind.PEER) {
            routePeerRequest(request);
        } else {
            routeClientRequest(request);
        }
    }

    private void routeClientRequest(Request request) {
        String path = request.path();
        if (path.equals(SubmissionHandler.PATH) || path.startsWith(SubmissionHandler.PATH + "/")) {
            handlers.submissions().accept(request);
            return;
        }
        switch (path) {
            case HEARTBEAT_PATH -> requireMethod("POST", request, handlers.heartbeat());
            case READINESS_PATH -> requireMethod("GET", request, handlers.readiness());
            default -> answerNotFound(request);
        }
    }

    private void routePeerRequest(Request request) {
        switch (request.path()) {
            case PeerExchange.PATH ->
                requireMethod("POST", request, handlers.peer().peerMessage());
            case METRICS_PATH -> requireMethod("GET", request, handlers.peer().metrics());
            default -> answerNotFound(request);
        }
    }

    private void requireMethod(String method, Request request, Consumer<Request> handler) {
        if (request.method().equals(method)) {
            handler.accept(request);
        } else {
            eventLoop.answer(request.exchange(), Response.error(METHOD_NOT_ALLOWED, "method not allowed"));
        }
    }

    private void answerNotFound(Request request) {
        eventLoop.answer(request.exchange(), Response.error(NOT_FOUND, "no such path"));
    }
}
