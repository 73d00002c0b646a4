package io.quartzgw.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends outbound calls over pooled connections, on a single I/O thread. Every call ends in exactly one reply, at its
 * timeout at the latest.
 */
public final class HttpClient {
    private static final int READ_BUFFER_BYTES = 8 * 1024;
    private static final long MAX_IDLE_MS = 30_000;

    private final XnioIoThread thread;
    private final CancellableConnector connector;
    private final ByteBufferPool buffers;
    private final int maxIdleConnections;
    /** Idle connections, the one that has been idle longest first. */
    private final Set<IdleConnection> idleConnections = new LinkedHashSet<>();

    private final Map<Endpoint, Deque<IdleConnection>> idleByEndpoint = new HashMap<>();

    /** @param maxIdleConnections maximum number of idle connections in the pool; each takes a socket */
    public HttpClient(XnioWorker worker, ByteBufferPool buffers, int maxIdleConnections) {
        this.thread = worker.getIoThread(0);
        this.connector = new CancellableConnector(thread);
        this.buffers = buffers;
        this.maxIdleConnections = maxIdleConnections;
    }

    /**
     * Starts a call; may be called from any thread.
     *
     * @param validUntilMs time of the steady clock from which on the call must not be sent; it then ends as unsent
     */
    public void send(Call call, long validUntilMs, Consumer<Reply> callback) {
        thread.execute(() -> new PendingCall(call, validUntilMs, callback).start());
    }

    /** A pooled connection, compared by identity. */
    private static final class IdleConnection {
        private final Endpoint endpoint;
        private final ClientConnection connection;
        private final long idleSinceMs = nowMs();

        IdleConnection(Endpoint endpoint, ClientConnection connection) {
            this.endpoint = endpoint;
            this.connection = connection;
        }

        boolean usable() {
            return connection.isOpen() && nowMs() - idleSinceMs < MAX_IDLE_MS;
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private ClientConnection takeIdle(Endpoint endpoint) {
        Deque<IdleConnection> connections = idleByEndpoint.get(endpoint);
        while (connections != null && !connections.isEmpty()) {
            IdleConnection last = connections.peekLast();
            removeIdle(last);
            if (last.usable()) {
                return last.connection;
            }
            IoUtils.safeClose(last.connection);
        }
        return null;
    }

    private void addIdle(Endpoint endpoint, ClientConnection connection) {
        IdleConnection added = new IdleConnection(endpoint, connection);
        idleConnections.add(added);
        idleByEndpoint.computeIfAbsent(endpoint, key -> new ArrayDeque<>()).addLast(added);
        // The connections that have been idle longest are closed first. Otherwise connections from a burst, or to
        // hundreds of agents that were called once, would take the sockets that new connections need.
        while (!idleConnections.isEmpty()) {
            IdleConnection oldest = idleConnections.iterator().next();
            if (idleConnections.size() <= maxIdleConnections && oldest.usable()) {
                return;
            }
            removeIdle(oldest);
            IoUtils.safeClose(oldest.connection);
        }
    }

    private void removeIdle(IdleConnection removed) {
        idleConnections.remove(removed);
        Deque<IdleConnection> connections = idleByEndpoint.get(removed.endpoint);
        connections.remove(removed);
        if (connections.isEmpty()) {
            idleByEndpoint.remove(removed.endpoint);
        }
    }

    private final class PendingCall {
        private final Call call;
        private final long validUntilMs;
        private final Consumer<Reply> callback;
        private final XnioExecutor.Key timeout;
        private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
        private IoFuture<StreamConnection> connectFuture;
        private ClientConnection connection;
        private boolean completed;

        PendingCall(Call call, long validUntilMs, Consumer<Reply> callback) {
            this.call = call;
            this.validUntilMs = validUntilMs;
            this.callback = callback;
            this.timeout = thread.executeAfter(this::fail, call.timeoutMs(), TimeUnit.MILLISECONDS);
        }

        void start() {
            ClientConnection idle = takeIdle(call.endpoint());
            if (idle != null) {
                onConnected(idle);
                return;
            }
            URI uri = URI.create("http://" + call.endpoint());
            UndertowClient.getInstance()
                    .connect(onSuccess(this::onConnected), uri, connector, buffers, OptionMap.EMPTY);
            connectFuture = connector.takeLastOpened();
        }

        private void onConnected(ClientConnection opened) {
            if (completed) {
                // The call timed out while its connection was being opened.
                IoUtils.safeClose(opened);
                return;
            }
            if (nowMs() >= validUntilMs) {
                IoUtils.safeClose(opened);
                fail();
                return;
            }
            connection = opened;
            ClientRequest request =
                    new ClientRequest().setPath(call.path()).setMethod(HttpString.tryFromString(call.method()));
            request.getRequestHeaders().put(Headers.HOST, call.endpoint().toString());
            if (call.body() != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, call.type());
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
            }
            connection.sendRequest(request, onSuccess(this::onRequestStarted));
        }

        private void onRequestStarted(ClientExchange exchange) {
            exchange.setResponseListener(onSuccess(this::onResponseStarted));
            if (call.body() != null) {
                ByteBuffer body = ByteBuffer.wrap(call.body());
                StreamSinkChannel sink = exchange.getRequestChannel();
                sink.getWriteSetter().set(channel -> writeBody(sink, body));
                writeBody(sink, body);
            }
        }

        private void writeBody(StreamSinkChannel sink, ByteBuffer body) {
            try {
                while (body.hasRemaining()) {
                    if (sink.write(body) == 0) {
                        sink.resumeWrites();
                        return;
                    }
                }
                sink.shutdownWrites();
                if (!sink.flush()) {
                    sink.getWriteSetter()
                            .set(ChannelListeners.flushingChannelListener(
                                    channel -> channel.suspendWrites(), (channel, e) -> fail()));
                    sink.resumeWrites();
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void onResponseStarted(ClientExchange exchange) {
            StreamSourceChannel source = exchange.getResponseChannel();
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            source.getReadSetter().set(channel -> readBody(exchange, source, buffer));
            readBody(exchange, source, buffer);
        }

        private void readBody(ClientExchange exchange, StreamSourceChannel source, byte[] buffer) {
            try {
                while (true) {
                    int count = source.read(ByteBuffer.wrap(buffer));
                    if (count < 0) {
                        complete(exchange);
                        return;
                    }
                    if (count == 0) {
                        source.resumeReads();
                        return;
                    }
                    responseBody.write(buffer, 0, count);
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void complete(ClientExchange exchange) {
            if (completed) {
                return;
            }
            completed = true;
            timeout.remove();
            boolean shouldClose = "close"
                    .equalsIgnoreCase(
                            exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            if (shouldClose) {
                IoUtils.safeClose(connection);
            } else {
                addIdle(call.endpoint(), connection);
            }
            callback.accept(new Reply(exchange.getResponse().getResponseCode(), responseBody.toByteArray()));
        }

        private void fail() {
            if (completed) {
                return;
            }
            completed = true;
            timeout.remove();
            if (connectFuture != null) {
                // An attempt to connect to an unreachable machine hangs and would hold a socket long after the call
                // ended.
                connectFuture.cancel();
            }
            IoUtils.safeClose(connection);
            callback.accept(connection == null ? Reply.unsent() : Reply.unanswered());
        }

        private <T> ClientCallback<T> onSuccess(Consumer<T> next) {
            return new ClientCallback<>() {
                @Override
                public void completed(T result) {
                    next.accept(result);
                }

                @Override
                public void failed(IOException e) {
                    fail();
                }
            };
        }
    }
}
