package io.quartzgw.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.ConnectorStatistics;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/**
 * The client and peer listeners of a controller. Complete requests are passed to the receiver. While its buffer is
 * full, clients get a 503 response immediately.
 */
public final class HttpServer {
    /** Maximum size of a request body, as specified by the protocol. */
    public static final long MAX_BODY_BYTES = 64 * 1024;

    private static final int REQUEST_READ_TIMEOUT_MS = 5_000;
    private static final int NANOS_PER_MS = 1_000_000;
    private static final int RETRY_AFTER_S = 1;

    private final Undertow undertow;
    private final SocketBudget socketBudget;
    private final Predicate<Request> receiver;
    private final Map<Long, HttpServerExchange> pendingExchanges = new ConcurrentHashMap<>();
    private final AtomicLong lastExchangeId = new AtomicLong();
    private volatile ConnectorStatistics clientStatistics;

    /**
     * @param socketBudget limits of the client listener; the remaining sockets are for outbound calls and peers
     * @param idleMs time after which a connection without requests is closed
     * @param receiver accepts a request or returns false when its buffer is full
     */
    public HttpServer(
            XnioWorker worker,
            ByteBufferPool buffers,
            Endpoint client,
            Endpoint peer,
            SocketBudget socketBudget,
            int idleMs,
            Predicate<Request> receiver) {
        this.socketBudget = socketBudget;
        this.receiver = receiver;
        this.undertow = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .setSocketOption(Options.BACKLOG, socketBudget.acceptBacklog())
                .setSocketOption(Options.CONNECTION_HIGH_WATER, socketBudget.clientConnections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, socketBudget.clientConnections())
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_READ_TIMEOUT_MS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .addHttpListener(client.port(), client.host(), exchange -> receive(exchange, ListenerKind.CLIENT))
                .addHttpListener(peer.port(), peer.host(), exchange -> receive(exchange, ListenerKind.PEER))
                .build();
    }

    public void start() {
        undertow.start();
        clientStatistics = listenerInfo(ListenerKind.CLIENT).getConnectorStatistics();
    }

    public void stop() {
        undertow.stop();
    }

    /** The port that a listener is bound to, which differs from the requested one if that is 0. */
    public int port(ListenerKind listener) {
        return ((InetSocketAddress) listenerInfo(listener).getAddress()).getPort();
    }

    private Undertow.ListenerInfo listenerInfo(ListenerKind listener) {
        // Listeners are listed in the order in which they were added to the builder.
        int position = listener == ListenerKind.CLIENT ? 0 : 1;
        return undertow.getListenerInfo().get(position);
    }

    /**
     * Sends the response of an exchange; may be called from any thread.
     *
     * @param validUntilMs time of the steady clock from which on the client gets a 503 response to retry instead
     */
    public void answer(long id, Response response, long validUntilMs) {
        HttpServerExchange exchange = pendingExchanges.remove(id);
        if (exchange != null) {
            exchange.getIoThread().execute(() -> {
                boolean valid = System.nanoTime() / NANOS_PER_MS < validUntilMs;
                send(exchange, valid ? response : Response.unavailable("late", RETRY_AFTER_S));
            });
        }
    }

    private void receive(HttpServerExchange exchange, ListenerKind listener) {
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            rejectTooLarge(exchange);
            return;
        }
        XnioExecutor.Key bodyTimeout = exchange.isRequestComplete()
                ? null
                : exchange.getIoThread()
                        .executeAfter(
                                // Frees the socket of a client that never completes its request body.
                                () -> IoUtils.safeClose(exchange.getConnection()),
                                REQUEST_READ_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (complete, body) -> {
                            if (bodyTimeout != null) {
                                bodyTimeout.remove();
                            }
                            complete.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> forwardToReceiver(complete, listener, body));
                        },
                        (failed, error) -> {
                            if (bodyTimeout != null) {
                                bodyTimeout.remove();
                            }
                            rejectTooLarge(failed);
                        });
    }

    private void forwardToReceiver(HttpServerExchange exchange, ListenerKind listener, byte[] body) {
        long id = lastExchangeId.incrementAndGet();
        pendingExchanges.put(id, exchange);
        exchange.addExchangeCompleteListener((ended, next) -> {
            pendingExchanges.remove(id);
            next.proceed();
        });
        Request request = new Request(
                id,
                listener,
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                exchange.getQueryString(),
                body);
        if (!receiver.test(request)) {
            answer(id, Response.unavailable("busy", RETRY_AFTER_S), Long.MAX_VALUE);
        }
    }

    private void rejectTooLarge(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        send(exchange, Response.error(413, "a request body may be at most " + MAX_BODY_BYTES + " bytes"));
    }

    private void send(HttpServerExchange exchange, Response response) {
        if (exchange.isResponseStarted()) {
            return;
        }
        // With more clients than sockets, connections are closed after their response so that waiting clients can be
        // accepted.
        if (clientStatistics != null && clientStatistics.getActiveConnections() > socketBudget.keepAliveConnections()) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.type());
        if (response.retryAfterS() > 0) {
            exchange.getResponseHeaders().put(RETRY_AFTER, Integer.toString(response.retryAfterS()));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }

    private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
}
