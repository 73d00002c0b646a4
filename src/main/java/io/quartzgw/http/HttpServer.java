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
 * Both listeners of a node. A whole request goes to the receiver; when the receiver has no room left, the client is
 * told at once to come back.
 */
public final class HttpServer {
    /** The protocol's bound on a request body. */
    public static final long MAX_BODY = 64 * 1024;

    private static final int SLOW_REQUEST_MS = 5_000;
    private static final int BUSY_RETRY_S = 1;

    private final Undertow undertow;
    private final Sockets sockets;
    private final Predicate<Request> receiver;
    private final Map<Long, HttpServerExchange> open = new ConcurrentHashMap<>();
    private final AtomicLong exchanges = new AtomicLong();
    private volatile ConnectorStatistics clients;

    /**
     * @param sockets what the client listener may hold; room is left for all others
     * @param idleMs how long a connection may be without a request
     * @param receiver takes a request, or says false when it has no room
     */
    public HttpServer(
            XnioWorker worker,
            ByteBufferPool buffers,
            Endpoint client,
            Endpoint peer,
            Sockets sockets,
            int idleMs,
            Predicate<Request> receiver) {
        this.sockets = sockets;
        this.receiver = receiver;
        this.undertow = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .setSocketOption(Options.BACKLOG, sockets.waiting())
                .setSocketOption(Options.CONNECTION_HIGH_WATER, sockets.client())
                .setSocketOption(Options.CONNECTION_LOW_WATER, sockets.client())
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, SLOW_REQUEST_MS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .addHttpListener(client.port(), client.host(), exchange -> receive(exchange, ListenerKind.CLIENT))
                .addHttpListener(peer.port(), peer.host(), exchange -> receive(exchange, ListenerKind.PEER))
                .build();
    }

    public void start() {
        undertow.start();
        clients = listener(ListenerKind.CLIENT).getConnectorStatistics();
    }

    public void stop() {
        undertow.stop();
    }

    /** The port that a listener got; for settings that ask for port 0. */
    public int port(ListenerKind listener) {
        return ((InetSocketAddress) listener(listener).getAddress()).getPort();
    }

    private Undertow.ListenerInfo listener(ListenerKind listener) {
        return undertow.getListenerInfo().get(listener.ordinal());
    }

    /** Answers an exchange; callable from any thread. */
    public void answer(long id, Response response) {
        HttpServerExchange exchange = open.remove(id);
        if (exchange != null) {
            exchange.getIoThread().execute(() -> send(exchange, response));
        }
    }

    private void receive(HttpServerExchange exchange, ListenerKind listener) {
        if (exchange.getRequestContentLength() > MAX_BODY) {
            refuse(exchange);
            return;
        }
        XnioExecutor.Key slow = exchange.isRequestComplete()
                ? null
                : exchange.getIoThread()
                        .executeAfter(
                                // Guards the sockets against a client that never ends its body.
                                () -> IoUtils.safeClose(exchange.getConnection()),
                                SLOW_REQUEST_MS,
                                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (complete, body) -> {
                            if (slow != null) {
                                slow.remove();
                            }
                            complete.dispatch(SameThreadExecutor.INSTANCE, () -> take(complete, listener, body));
                        },
                        (failed, error) -> {
                            if (slow != null) {
                                slow.remove();
                            }
                            refuse(failed);
                        });
    }

    private void take(HttpServerExchange exchange, ListenerKind listener, byte[] body) {
        long id = exchanges.incrementAndGet();
        open.put(id, exchange);
        exchange.addExchangeCompleteListener((ended, next) -> {
            open.remove(id);
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
            answer(id, Response.unavailable("busy", BUSY_RETRY_S));
        }
    }

    private void refuse(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        send(exchange, Response.error(413, "a request body may be at most " + MAX_BODY + " bytes"));
    }

    private void send(HttpServerExchange exchange, Response response) {
        if (exchange.isResponseStarted()) {
            return;
        }
        // Guards accepting: with more clients than sockets, those that are answered make room for those that wait.
        if (clients != null && clients.getActiveConnections() > sockets.lasting()) {
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
