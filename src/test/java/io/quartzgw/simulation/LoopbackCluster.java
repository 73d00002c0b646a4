package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.io.IOException;
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
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Serves the simulated state service, cloud and agents over HTTP on the loopback interface in real time, for tests that
 * run whole processes of the program.
 */
public final class LoopbackCluster implements AutoCloseable {
    private static final int FIRST_PORT = 10_000;
    /** The first port that the system usually assigns to outbound connections. */
    private static final int FIRST_EPHEMERAL_PORT = 32_768;

    private static final long HEARTBEAT_INTERVAL_MS = 1_000;
    private static final long AGENT_LEASE_MS = 8_000;

    private final SimulatedStore store = new SimulatedStore();
    private final SimulatedCloud cloud = new SimulatedCloud(200, 300, 4, this::addressOf);
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final ScheduledFuture<?> periodicTick;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(executor)
            .build();
    private final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
    private final Map<String, HttpServer> agentServers = new HashMap<>();
    private final Map<String, SimulatedAgent> agents = new ConcurrentHashMap<>();
    private final HttpServer storeServer;
    private final HttpServer cloudServer;
    private final int[] clientPorts;
    private final int[] peerPorts;

    private interface Handler {
        void handle(Call call, long now, Consumer<Reply> onReply);
    }

    /** Starts the simulated services, and chooses the ports for a number of controllers. */
    public LoopbackCluster(int controllers) throws IOException {
        storeServer = serve((call, now, onReply) -> store.handle(call, now, onReply));
        cloudServer = serve((call, now, onReply) -> cloud.handle(call, now, onReply));
        int[] ports = chooseFreePorts(2 * controllers);
        clientPorts = Arrays.copyOf(ports, controllers);
        peerPorts = Arrays.copyOfRange(ports, controllers, 2 * controllers);
        cloud.onMachineChange(this::boot, agents::remove);
        periodicTick = scheduler.scheduleAtFixedRate(this::tick, 20, 20, TimeUnit.MILLISECONDS);
    }

    /**
     * Chooses distinct ports that are not in use, below the ephemeral range. An outbound connection could take a port
     * of that range before the controller listens on it.
     */
    private static int[] chooseFreePorts(int count) {
        return ThreadLocalRandom.current()
                .ints(FIRST_PORT, FIRST_EPHEMERAL_PORT)
                .distinct()
                .filter(LoopbackCluster::isFree)
                .limit(count)
                .toArray();
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(executor);
        server.createContext("/", exchange -> handleExchange(exchange, handler));
        server.start();
        return server;
    }

    private void handleExchange(HttpExchange exchange, Handler handler) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Call call = new Call(
                new Endpoint("127.0.0.1", 1),
                exchange.getRequestMethod(),
                exchange.getRequestURI().toString(),
                null,
                body.length == 0 ? null : body,
                0);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        synchronized (this) {
            handler.handle(call, now(), reply::complete);
        }
        Reply response = reply.join();
        exchange.sendResponseHeaders(response.status(), response.body().length == 0 ? -1 : response.body().length);
        exchange.getResponseBody().write(response.body());
        exchange.close();
    }

    private synchronized void tick() {
        store.advanceTo(now());
        cloud.advanceTo(now());
        agents.values().forEach(agent -> agent.advanceTo(now()));
    }

    // ---- agents

    private synchronized String addressOf(String id) {
        return "127.0.0.1:"
                + agentServers
                        .computeIfAbsent(id, key -> {
                            try {
                                return serve((call, now, onReply) -> {
                                    SimulatedAgent agent = agents.get(id);
                                    onReply.accept(
                                            agent == null
                                                    ? new Reply(503, new byte[0])
                                                    : agent.receiveCommands(Json.readOrNull(call.body()), now));
                                });
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        })
                        .getAddress()
                        .getPort();
    }

    private void boot(String id, String type, String zone, boolean spot) {
        SimulatedAgent agent = new SimulatedAgent(
                id,
                addressOf(id),
                type,
                zone,
                spot,
                AGENT_LEASE_MS,
                now(),
                this::taskProfile,
                new SimulatedAgent.TaskListener() {});
        agents.put(id, agent);
        executor.execute(() -> sendHeartbeats(agent));
    }

    private SimulatedAgent.TaskProfile taskProfile(String job) {
        JsonNode spec = jobs.get(job);
        return spec == null
                ? null
                : new SimulatedAgent.TaskProfile(
                        spec.path("cpus").asDouble(),
                        spec.path("runtime_guess_s").asDouble(),
                        0,
                        0.1,
                        spec.path("shape").asText().equals("daemon"),
                        false);
    }

    private void sendHeartbeats(SimulatedAgent agent) {
        int targetController = 0;
        while (agents.get(agent.id) == agent) {
            long sentAt = now();
            JsonNode heartbeat;
            long epoch;
            synchronized (this) {
                heartbeat = agent.heartbeat(now());
                epoch = agent.epoch();
            }
            Reply reply = request(targetController, "POST", "/hello", heartbeat);
            if (reply.status() == 421 && reply.json().has("home_controller")) {
                targetController = Integer.parseInt(
                        reply.json().path("home_controller").asText().substring(4));
            } else if (!reply.ok()) {
                targetController = (targetController + 1) % clientPorts.length;
            }
            synchronized (this) {
                agent.receiveHeartbeatResponse(reply, epoch, sentAt, now());
            }
            sleep(HEARTBEAT_INTERVAL_MS);
        }
    }

    /** Sleeps for a duration of real time. */
    public static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- users

    /**
     * Sends a request without a body to a controller's client listener; returns a lost reply if none arrives in time.
     */
    public Reply request(int controller, String method, String path) {
        return requestWithRawBody(controller, method, path, HttpRequest.BodyPublishers.noBody());
    }

    /** Sends a request with a JSON body to a controller's client listener. */
    public Reply request(int controller, String method, String path, JsonNode body) {
        return requestWithRawBody(controller, method, path, HttpRequest.BodyPublishers.ofByteArray(Json.write(body)));
    }

    /** Sends a request with an arbitrary body to a controller's client listener. */
    public Reply requestWithRawBody(int controller, String method, String path, HttpRequest.BodyPublisher body) {
        return send(clientPorts[controller], method, path, body);
    }

    /** The port of a controller's client listener. */
    public int clientPort(int controller) {
        return clientPorts[controller];
    }

    /** Begins or ends an outage of the state service. */
    public synchronized void setStoreOutage(boolean on) {
        store.setOutage(on);
    }

    /** Sends a GET request to a controller's peer listener, which also serves operators. */
    public Reply getFromPeerListener(int controller, String path) {
        return send(peerPorts[controller], "GET", path, HttpRequest.BodyPublishers.noBody());
    }

    private Reply send(int port, String method, String path, HttpRequest.BodyPublisher body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(4))
                .method(method, body)
                .build();
        try {
            HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            return Reply.unanswered();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Reply.unanswered();
        }
    }

    /** Submits a job, and registers its spec with the simulated agents so that they can run its tasks. */
    public Reply submit(int controller, JsonNode spec) {
        jobs.put(spec.path("id").asText(), spec);
        return request(controller, "POST", "/submissions", spec);
    }

    // ---- settings

    /** Writes the settings file of a controller and returns its path. */
    public Path writeSettings(int controller, Path directory) throws IOException {
        StringBuilder toml = new StringBuilder();
        toml.append("member = \"rig-")
                .append(controller)
                .append("\"\nsite = \"a\"\n")
                .append("client_listen = \"127.0.0.1:")
                .append(clientPorts[controller])
                .append("\"\n")
                .append("peer_listen = \"127.0.0.1:")
                .append(peerPorts[controller])
                .append("\"\n");
        for (int i = 0; i < clientPorts.length; i++) {
            if (i != controller) {
                toml.append("[[known]]\nmember = \"rig-")
                        .append(i)
                        .append("\"\nsite = \"a\"\nendpoint = \"127.0.0.1:")
                        .append(peerPorts[i])
                        .append("\"\n");
            }
        }
        toml.append("[external]\ncloud = \"127.0.0.1:")
                .append(cloudServer.getAddress().getPort())
                .append("\"\nstate = \"127.0.0.1:")
                .append(storeServer.getAddress().getPort())
                .append("\"\n")
                .append("[facts]\nsize = ")
                .append(clientPorts.length)
                .append("\nzones = [\"a\", \"b\"]\ntime_bound_ms = 100.0\n")
                .append("[[facts.teams]]\nname = \"blue\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n")
                .append("[facts.workers]\nreport_s = 0.4\nlease_s = 8.0\ncancel_s = 20.0\n")
                .append("[facts.state]\nrps = 600.0\nwrite_rps = 300.0\nvalue_kb = 8.0\ntxn_ops = 16\n")
                .append("[facts.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n[facts.limits]\nsockets = 200\n");
        Path file = directory.resolve("rig-" + controller + ".toml");
        Files.writeString(file, toml);
        return file;
    }

    @Override
    public void close() {
        agents.clear();
        periodicTick.cancel(false);
        scheduler.shutdownNow();
        storeServer.stop(0);
        cloudServer.stop(0);
        synchronized (this) {
            agentServers.values().forEach(server -> server.stop(0));
        }
        executor.shutdownNow();
    }
}
