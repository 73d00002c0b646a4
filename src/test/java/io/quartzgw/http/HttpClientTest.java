package io.quartzgw.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class HttpClientTest {
    private static final int CALLS = 50;

    // Guards against running out of sockets when machines are partitioned: a hanging connection attempt would hold a
    // socket for minutes after its call timed out, and hundreds of unresponsive machines are called repeatedly.
    @Test
    void releasesSocketWhenCallTimesOutDuringConnect() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        HttpClient client = new HttpClient(worker, new DefaultByteBufferPool(true, 8 * 1024), 4);
        List<SocketChannel> fillers = new ArrayList<>();
        // Connecting hangs because this listener accepts nothing and its backlog is full.
        try (ServerSocket unresponsiveListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(unresponsiveListener.getLocalSocketAddress());
                fillers.add(filler);
            }
            long before = countOpenSockets();
            List<CompletableFuture<Reply>> replies = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                CompletableFuture<Reply> reply = new CompletableFuture<>();
                replies.add(reply);
                client.send(
                        Call.get(new Endpoint("127.0.0.1", unresponsiveListener.getLocalPort()), "/show", 300),
                        Long.MAX_VALUE,
                        reply::complete);
            }
            for (CompletableFuture<Reply> reply : replies) {
                assertEquals(Reply.NO_RESPONSE, reply.get(60, TimeUnit.SECONDS).status());
            }
            long leakedSockets = Long.MAX_VALUE;
            for (int i = 0; i < 100 && leakedSockets > 2; i++) {
                Thread.sleep(50);
                leakedSockets = countOpenSockets() - before;
            }
            assertTrue(leakedSockets <= 2, leakedSockets + " sockets are still open after " + CALLS + " calls");
        } finally {
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            worker.shutdownNow();
        }
    }

    // Guards the distinction between unsent and unanswered calls: a start in an unsent call is never executed and needs
    // no fencing.
    @Test
    void reportsCallWithoutConnectionAsUnsent() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        HttpClient client = new HttpClient(worker, new DefaultByteBufferPool(true, 8 * 1024), 4);
        int port;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = server.getLocalPort();
            Reply unanswered = call(client, port);
            assertEquals(Reply.NO_RESPONSE, unanswered.status());
            assertTrue(unanswered.sent(), "a call without a response on an open connection may have been sent");
        }
        Reply refused = call(client, port);
        worker.shutdownNow();
        assertEquals(Reply.NO_RESPONSE, refused.status());
        assertFalse(refused.sent(), "a call whose connection was refused is unsent");
    }

    // Guards against starts sent by a leader that was paused: by the time it resumes, another leader may have been
    // elected.
    @Test
    void doesNotSendExpiredCall() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        HttpClient client = new HttpClient(worker, new DefaultByteBufferPool(true, 8 * 1024), 4);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Reply expired = call(client, server.getLocalPort(), System.nanoTime() / 1_000_000);
            assertEquals(Reply.NO_RESPONSE, expired.status());
            assertFalse(expired.sent());
        } finally {
            worker.shutdownNow();
        }
    }

    private static Reply call(HttpClient client, int port) throws Exception {
        return call(client, port, Long.MAX_VALUE);
    }

    private static Reply call(HttpClient client, int port, long validUntilMs) throws Exception {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        client.send(Call.get(new Endpoint("127.0.0.1", port), "/show", 300), validUntilMs, reply::complete);
        return reply.get(60, TimeUnit.SECONDS);
    }

    private static long countOpenSockets() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
            return open.filter(descriptor -> {
                        try {
                            return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
                        } catch (IOException e) {
                            return false;
                        }
                    })
                    .count();
        }
    }
}
