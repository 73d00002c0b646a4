import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** What all stand-ins share: the clock, the record of the run, JSON, HTTP on loopback, free ports. */
final class Lab {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String LOOPBACK = "127.0.0.1";
    private static final long START_NS = System.nanoTime();
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private static final HttpClient HTTP = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .executor(THREADS)
            .build();
    private static final Set<Integer> PORTS_GIVEN = new HashSet<>();
    private static PrintWriter record;

    /**
     * A response; status 0 means that none arrived in time.
     *
     * @param retryAfterS the header Retry-After, 0 if there is none
     */
    record Reply(int status, String text, double retryAfterS) {
        Reply(int status, String text) {
            this(status, text, 0);
        }

        JsonNode json() {
            try {
                JsonNode node = JSON.readTree(text);
                return node == null ? JSON.missingNode() : node;
            } catch (IOException e) {
                return JSON.missingNode();
            }
        }
    }

    /** A request as a stand-in receives it. */
    record Request(String method, String path, Map<String, String> query, byte[] body) {
        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    private Lab() {}

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Seconds since the start of the run. */
    static double now() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    /** Writes a line to record.txt. */
    static synchronized void note(String format, Object... values) {
        record.printf("%8.3f ", now());
        record.printf(format, values);
        record.println();
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) (seconds * 1000)));
    }

    static void background(Runnable task) {
        THREADS.execute(task);
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static Reply reply(int status, JsonNode body) {
        return new Reply(status, body.toString());
    }

    /** A port that nobody listens on, below the range from which the system takes ports of outbound connections. */
    static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(11_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                if (PORTS_GIVEN.add(port)) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                // In use: try another one.
            }
        }
    }

    /** Serves requests on a loopback port and returns the address. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(LOOPBACK), freePort()), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try {
                exchange(exchange, handler);
            } catch (Exception e) {
                note("stand-in failed: %s %s", exchange.getRequestURI(), e);
            } finally {
                exchange.close();
            }
        });
        server.start();
        return LOOPBACK + ":" + server.getAddress().getPort();
    }

    private static void exchange(HttpExchange exchange, Handler handler) throws Exception {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String rawQuery = exchange.getRequestURI().getRawQuery();
        if (rawQuery != null) {
            for (String pair : rawQuery.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        Reply reply = handler.handle(
                new Request(exchange.getRequestMethod(), exchange.getRequestURI().getRawPath(), query, body));
        byte[] bytes = reply.text().getBytes("UTF-8");
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
    }

    /** Sends a request; the body may be null. */
    static Reply send(String method, String address, String path, JsonNode body, double timeoutS) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body.toString()));
        try {
            HttpResponse<String> response = HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
            double retryAfterS =
                    response.headers().firstValue("Retry-After").map(Double::parseDouble).orElse(0.0);
            return new Reply(response.statusCode(), response.body(), retryAfterS);
        } catch (IOException e) {
            return new Reply(0, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(0, "");
        }
    }
}
