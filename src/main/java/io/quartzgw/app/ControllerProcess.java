package io.quartzgw.app;

import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.EventLoopThread;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.http.HttpClient;
import io.quartzgw.http.HttpServer;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Request;
import io.quartzgw.http.SocketBudget;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A running controller process: the core on its event loop thread, and one I/O thread for all sockets. */
final class ControllerProcess {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 128;
    /**
     * Idle timeout of connections, in heartbeat intervals. Live agents and users send far more often, and the
     * connection of a dead client only occupies a socket.
     */
    private static final int IDLE_TIMEOUT_HEARTBEATS = 6;

    private static final long STACK_BYTES = 256 * 1024;

    private final ProcessMetrics metrics = new ProcessMetrics();
    private final Map<Long, Long> requestStartNanos = new ConcurrentHashMap<>();
    private final EventLoop eventLoop;
    private final Controller controller;
    private final EventLoopThread eventLoopThread;
    private final XnioWorker ioWorker;
    private final HttpServer server;
    private final HttpClient client;
    private final Thread thread;

    ControllerProcess(Settings settings, long process) throws IOException {
        this.eventLoop = new EventLoop(process);
        this.controller = new Controller(eventLoop, settings, process, metrics::snapshot);
        SocketBudget sockets = SocketBudget.of(settings.maxSockets());
        // The queue has room for one request per connection, since a client has one request in flight. All clients may
        // send to a new leader at the same time, and a rejected one would only take a detour by another controller.
        this.eventLoopThread = new EventLoopThread(eventLoop, sockets.clientConnections(), this::performEffect);
        // The thread named "owner" runs the event loop.
        this.thread = new Thread(null, eventLoopThread, "owner", STACK_BYTES);
        this.ioWorker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 4);
        this.client = new HttpClient(ioWorker, buffers, sockets.pooledConnections());
        this.server = new HttpServer(
                ioWorker,
                buffers,
                settings.clientListen(),
                settings.peerListen(),
                sockets,
                (int) (IDLE_TIMEOUT_HEARTBEATS * settings.agentTiming().heartbeatMs()),
                this::receive);
    }

    void start() {
        eventLoop.processBatch(List.of(), EventLoopThread.currentTime());
        controller.start();
        server.start();
        thread.start();
    }

    void join() throws InterruptedException {
        thread.join();
    }

    void stop() {
        eventLoopThread.stop();
        server.stop();
        ioWorker.shutdown();
    }

    int port(ListenerKind listener) {
        return server.port(listener);
    }

    private boolean receive(Request request) {
        requestStartNanos.put(request.exchange(), System.nanoTime());
        if (eventLoopThread.offerRequest(new LoopEvent.RequestReceived(request))) {
            return true;
        }
        requestStartNanos.remove(request.exchange());
        metrics.recordRefusedRequest();
        return false;
    }

    private void performEffect(Effect effect) {
        if (effect instanceof Effect.Answer answer) {
            Long startedAt = requestStartNanos.remove(answer.exchange());
            if (startedAt != null) {
                metrics.recordRequest(answer.response().status(), System.nanoTime() - startedAt);
            }
            server.answer(answer.exchange(), answer.response(), answer.validUntilMs());
        } else if (effect instanceof Effect.Send send) {
            client.send(
                    send.request(),
                    send.validUntilMs(),
                    reply -> eventLoopThread.callEnded(new LoopEvent.CallEnded(send.call(), reply)));
        }
    }
}
