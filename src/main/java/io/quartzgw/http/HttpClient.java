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
 * Outbound calls over kept connections. All of it runs on one I/O thread; a call always ends in exactly one reply, at
 * its time-out at the latest.
 */
public final class HttpClient {
    private static final int READ_CHUNK = 8 * 1024;
    private static final long IDLE_MS = 30_000;

    private final XnioIoThread thread;
    private final Connector connector;
    private final ByteBufferPool buffers;
    private final int mostIdle;
    /** Kept connections, those that wait longest first. */
    private final Set<Idle> idle = new LinkedHashSet<>();

    private final Map<Endpoint, Deque<Idle>> idleTo = new HashMap<>();

    /** @param mostIdle how many connections are kept at the most: each takes one of the node's sockets */
    public HttpClient(XnioWorker worker, ByteBufferPool buffers, int mostIdle) {
        this.thread = worker.getIoThread(0);
        this.connector = new Connector(thread);
        this.buffers = buffers;
        this.mostIdle = mostIdle;
    }

    /** Starts a call; callable from any thread. */
    public void send(Call call, Consumer<Reply> then) {
        thread.execute(() -> new Attempt(call, then).start());
    }

    /** A kept connection; each is one of a kind, whatever it leads to. */
    private static final class Idle {
        private final Endpoint to;
        private final ClientConnection connection;
        private final long since = nowMs();

        Idle(Endpoint to, ClientConnection connection) {
            this.to = to;
            this.connection = connection;
        }

        boolean usable() {
            return connection.isOpen() && nowMs() - since < IDLE_MS;
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private ClientConnection kept(Endpoint to) {
        Deque<Idle> connections = idleTo.get(to);
        while (connections != null && !connections.isEmpty()) {
            Idle last = connections.peekLast();
            forget(last);
            if (last.usable()) {
                return last.connection;
            }
            IoUtils.safeClose(last.connection);
        }
        return null;
    }

    private void keep(Endpoint to, ClientConnection connection) {
        Idle kept = new Idle(to, connection);
        idle.add(kept);
        idleTo.computeIfAbsent(to, key -> new ArrayDeque<>()).addLast(kept);
        // The oldest go first, so that hundreds of workers that were ordered something once, or a burst's
        // extra connections, don't hold the sockets that new ones need.
        while (!idle.isEmpty()) {
            Idle oldest = idle.iterator().next();
            if (idle.size() <= mostIdle && oldest.usable()) {
                return;
            }
            forget(oldest);
            IoUtils.safeClose(oldest.connection);
        }
    }

    private void forget(Idle kept) {
        idle.remove(kept);
        Deque<Idle> connections = idleTo.get(kept.to);
        connections.remove(kept);
        if (connections.isEmpty()) {
            idleTo.remove(kept.to);
        }
    }

    private final class Attempt {
        private final Call call;
        private final Consumer<Reply> then;
        private final XnioExecutor.Key timeout;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private IoFuture<StreamConnection> opening;
        private ClientConnection connection;
        private boolean done;

        Attempt(Call call, Consumer<Reply> then) {
            this.call = call;
            this.then = then;
            this.timeout = thread.executeAfter(this::fail, call.timeoutMs(), TimeUnit.MILLISECONDS);
        }

        void start() {
            ClientConnection open = kept(call.endpoint());
            if (open != null) {
                connected(open);
                return;
            }
            URI uri = URI.create("http://" + call.endpoint());
            UndertowClient.getInstance().connect(callback(this::connected), uri, connector, buffers, OptionMap.EMPTY);
            opening = connector.lastOpened();
        }

        private void connected(ClientConnection open) {
            if (done) {
                // The call was given up while its connection was being made.
                IoUtils.safeClose(open);
                return;
            }
            connection = open;
            ClientRequest request =
                    new ClientRequest().setPath(call.path()).setMethod(HttpString.tryFromString(call.method()));
            request.getRequestHeaders().put(Headers.HOST, call.endpoint().toString());
            if (call.body() != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, call.type());
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
            }
            connection.sendRequest(request, callback(this::requestStarted));
        }

        private void requestStarted(ClientExchange exchange) {
            exchange.setResponseListener(callback(this::responseStarted));
            if (call.body() != null) {
                ByteBuffer body = ByteBuffer.wrap(call.body());
                StreamSinkChannel sink = exchange.getRequestChannel();
                sink.getWriteSetter().set(channel -> write(sink, body));
                write(sink, body);
            }
        }

        private void write(StreamSinkChannel sink, ByteBuffer body) {
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

        private void responseStarted(ClientExchange exchange) {
            StreamSourceChannel source = exchange.getResponseChannel();
            ByteBuffer chunk = ByteBuffer.allocate(READ_CHUNK);
            source.getReadSetter().set(channel -> read(exchange, source, chunk));
            read(exchange, source, chunk);
        }

        private void read(ClientExchange exchange, StreamSourceChannel source, ByteBuffer chunk) {
            try {
                while (true) {
                    chunk.clear();
                    int count = source.read(chunk);
                    if (count < 0) {
                        finish(exchange);
                        return;
                    }
                    if (count == 0) {
                        source.resumeReads();
                        return;
                    }
                    received.write(chunk.array(), 0, count);
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void finish(ClientExchange exchange) {
            if (done) {
                return;
            }
            done = true;
            timeout.remove();
            boolean closes = "close"
                    .equalsIgnoreCase(
                            exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            if (closes) {
                IoUtils.safeClose(connection);
            } else {
                keep(call.endpoint(), connection);
            }
            then.accept(new Reply(exchange.getResponse().getResponseCode(), received.toByteArray()));
        }

        private void fail() {
            if (done) {
                return;
            }
            done = true;
            timeout.remove();
            if (opening != null) {
                // Connecting to a machine that is cut off hangs, and would hold a socket long after the call.
                opening.cancel();
            }
            IoUtils.safeClose(connection);
            then.accept(Reply.lost());
        }

        private <T> ClientCallback<T> callback(Consumer<T> next) {
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
