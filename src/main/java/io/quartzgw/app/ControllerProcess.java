package io.quartzgw.app;

import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.EventLoopThread;
import io.quartzgw.http.HttpClient;
import io.quartzgw.http.HttpServer;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Request;
import io.quartzgw.http.Sockets;
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

/** A running controller: the core on its owner thread, and one I/O thread for all sockets. */
final class ControllerProcess {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int POOLED_BUFFERS = 128;
    /** Workers and users that live ask far more often; a dead one's connection only holds a socket. */
    private static final int IDLE_REPORTS = 6;

    private static final long STACK_BYTES = 256 * 1024;

    private final ProcessMetrics metrics = new ProcessMetrics();
    private final Map<Long, Long> begun = new ConcurrentHashMap<>();
    private final EventLoop kernel;
    private final Controller node;
    private final EventLoopThread owner;
    private final XnioWorker worker;
    private final HttpServer server;
    private final HttpClient client;
    private final Thread thread;

    ControllerProcess(Settings settings, long process) throws IOException {
        this.kernel = new EventLoop(process);
        this.node = new Controller(kernel, settings, process, metrics::snapshot);
        Sockets sockets = Sockets.of(settings.sockets());
        // A client has one request under way: all that are connected may ask a new leader at once, and none of
        // them is better served by a refusal that sends it to another node first.
        this.owner = new EventLoopThread(kernel, sockets.client(), this::perform);
        this.thread = new Thread(null, owner, "owner", STACK_BYTES);
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 4);
        this.client = new HttpClient(worker, buffers, sockets.kept());
        this.server = new HttpServer(
                worker,
                buffers,
                settings.clientListen(),
                settings.peerListen(),
                sockets,
                (int) (IDLE_REPORTS * settings.agentTiming().heartbeatMs()),
                this::take);
    }

    void start() {
        kernel.processBatch(List.of(), EventLoopThread.currentTime());
        node.start();
        server.start();
        thread.start();
    }

    void join() throws InterruptedException {
        thread.join();
    }

    void stop() {
        owner.stop();
        server.stop();
        worker.shutdown();
    }

    int port(ListenerKind listener) {
        return server.port(listener);
    }

    private boolean take(Request request) {
        begun.put(request.exchange(), System.nanoTime());
        if (owner.offerRequest(new Command.Arrived(request))) {
            return true;
        }
        begun.remove(request.exchange());
        metrics.refused();
        return false;
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.Answer answer) {
            Long since = begun.remove(answer.exchange());
            if (since != null) {
                metrics.served(answer.response().status(), System.nanoTime() - since);
            }
            server.answer(answer.exchange(), answer.response());
        } else if (effect instanceof Effect.Send send) {
            client.send(send.request(), reply -> owner.callEnded(new Command.CallEnded(send.call(), reply)));
        }
    }
}
