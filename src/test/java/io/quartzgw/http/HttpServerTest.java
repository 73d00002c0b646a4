package io.quartzgw.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class HttpServerTest {
    private static final int TIMEOUT_MS = 30_000;

    /** Starts a server that answers every request immediately with a response that expires at the given time. */
    private static HttpServer startServer(XnioWorker worker, LongSupplier validUntilMs) throws IOException {
        HttpServer[] server = new HttpServer[1];
        server[0] = new HttpServer(
                worker,
                new DefaultByteBufferPool(true, 8 * 1024),
                new Endpoint("127.0.0.1", 0),
                new Endpoint("127.0.0.1", 0),
                new SocketBudget(8, 8, 6, 1, 1),
                TIMEOUT_MS,
                request -> {
                    server[0].answer(request.exchange(), Response.error(200, "none"), validUntilMs.getAsLong());
                    return true;
                });
        server[0].start();
        return server[0];
    }

    // Guards against expired agent leases when a cluster has more agents than the leader has sockets: idle connections
    // of the first agents must not keep the server from accepting the others.
    @Test
    void answersMoreClientsThanSocketsRepeatedly() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        HttpServer server = startServer(worker, () -> Long.MAX_VALUE);
        List<Client> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 40; i++) {
                clients.add(new Client(server.port(ListenerKind.CLIENT)));
            }
            int openConnections = 0;
            for (int round = 0; round < 3; round++) {
                for (Client client : clients) {
                    assertEquals("HTTP/1.1 200 OK", client.sendRequest());
                }
                openConnections = (int)
                        clients.stream().filter(client -> client.socket != null).count();
            }
            assertTrue(openConnections > 0 && openConnections <= 8, openConnections + " connections are kept open");
        } finally {
            for (Client client : clients) {
                client.close();
            }
            server.stop();
            worker.shutdownNow();
        }
    }

    // Guards against starts in a response that is sent late because the process was paused.
    @Test
    void respondsUnavailableWhenResponseExpired() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        HttpServer server = startServer(worker, () -> System.nanoTime() / 1_000_000);
        Client client = new Client(server.port(ListenerKind.CLIENT));
        try {
            assertEquals("HTTP/1.1 503 Service Unavailable", client.sendRequest());
        } finally {
            client.close();
            server.stop();
            worker.shutdownNow();
        }
    }

    /** An HTTP client that keeps its connection alive until the server announces that it closes it. */
    private static final class Client {
        private final int port;
        private Socket socket;
        private BufferedReader reader;

        Client(int port) {
            this.port = port;
        }

        String sendRequest() throws IOException {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(TIMEOUT_MS);
                reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            }
            socket.getOutputStream()
                    .write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String status = reader.readLine();
            int length = 0;
            boolean closes = false;
            for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                length = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
                closes |= line.equalsIgnoreCase("Connection: close");
            }
            for (int i = 0; i < length; i++) {
                reader.read();
            }
            if (closes) {
                close();
            }
            return status;
        }

        void close() throws IOException {
            if (socket != null) {
                socket.close();
                socket = null;
            }
        }
    }
}
