package io.quartzgw.app;

import static io.quartzgw.app.Literals.bytes;
import static io.quartzgw.app.Literals.cbor;
import static io.quartzgw.app.Literals.json;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.SimulatedAgent;
import io.quartzgw.simulation.SimulatedStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** One controller, rig-0 of two and process 17, in simulated time; all else is played by the test. */
final class ControllerHarness {
    private static final long STEP_MS = 10;
    private static final long HEARTBEAT_INTERVAL_MS = 1_000;
    private static final long AGENT_LEASE_MS = 16_000;
    private static final long TIMEOUT_MS = 30_000;
    private static final long START_WALL_CLOCK_MS = 1_800_000_000_000L;

    private final String machineTypes;
    private final Settings settings = new ClusterSimulation(1, 2).settings(0);
    private final EventLoop eventLoop = new EventLoop(1);
    final SimulatedStore store = new SimulatedStore();
    private final Controller controller = new Controller(eventLoop, settings, 17, () -> json("{\"given\":1}"));
    private final TreeMap<Long, List<Command>> dueCommands = new TreeMap<>();
    final Map<Long, Response> responses = new HashMap<>();
    /** By address, the workers that orders reach. */
    private final Map<String, SimulatedAgent> agents = new HashMap<>();
    /** Of those, the ones that report by themselves. */
    private final List<SimulatedAgent> heartbeatSenders = new ArrayList<>();

    private final List<Call> outboundCalls = new ArrayList<>();
    final List<Call> peerMessages = new ArrayList<>();
    /** By task, the machine that was told to start it. */
    final Map<String, String> startedOn = new TreeMap<>();

    Function<JsonNode, JsonNode> peer = asked -> null;
    List<Integer> listedMachines = List.of(1, 2, 3, 4);
    boolean cloudOutage;
    int nextRental;
    private long now;
    private long lastExchange;

    /** @param machineTypes the table of machine types that the cloud tells */
    ControllerHarness(String types) {
        this.machineTypes = types;
    }

    // ---- the store

    void storeRecords(Map<String, String> records) {
        records.forEach((key, value) -> transact("{\"write\":\"" + key + "\",\"data\":" + value + "}"));
    }

    void storeWithLease(String key, String value) {
        postToStore("/holds", "{\"life_ms\":3520}");
        transact("{\"write\":\"" + key + "\",\"data\":" + value + ",\"permit\":1}");
    }

    private void transact(String change) {
        postToStore("/multi", "{\"guards\":[],\"apply\":[" + change + "]}");
    }

    void postToStore(String path, String body) {
        Call call = new Call(settings.state(), "POST", path, "application/json", bytes(body), 1_000);
        store.handle(call, now, reply -> assertEquals(200, reply.status()));
    }

    JsonNode stored(String key) {
        return store.value(key);
    }

    // ---- time

    private ClockReading clockReading() {
        return new ClockReading(now, wallClockMs());
    }

    long wallClockMs() {
        return START_WALL_CLOCK_MS + now;
    }

    void start() {
        eventLoop.processBatch(List.of(), clockReading());
        controller.start();
        process(List.of());
    }

    private void process(List<Command> commands) {
        for (Effect effect : eventLoop.processBatch(commands, clockReading())) {
            if (effect instanceof Effect.Answer answer) {
                responses.put(answer.exchange(), answer.response());
            } else if (effect instanceof Effect.Send send) {
                outboundCalls.add(send.request());
                handleCall(send.request(), send.call());
            }
        }
    }

    void runFor(long ms) {
        for (long end = now + ms; now < end; ) {
            now += STEP_MS;
            store.advanceTo(now);
            agents.values().forEach(worker -> worker.advanceTo(now));
            if (now % HEARTBEAT_INTERVAL_MS == 0) {
                List.copyOf(heartbeatSenders).forEach(this::heartbeat);
            }
            List<Command> commands = new ArrayList<>();
            while (!dueCommands.isEmpty() && dueCommands.firstKey() <= now) {
                commands.addAll(dueCommands.pollFirstEntry().getValue());
            }
            process(commands);
        }
    }

    void runUntil(BooleanSupplier reached, String what) {
        for (long end = now + TIMEOUT_MS; now < end && !reached.getAsBoolean(); ) {
            runFor(STEP_MS);
        }
        assertTrue(reached.getAsBoolean(), what);
    }

    /** Hands the reply of a call to the controller; one that was lost ends with its time. */
    private void scheduleReply(long call, long afterMs, Reply reply) {
        dueCommands.computeIfAbsent(now + afterMs, moment -> new ArrayList<>()).add(new Command.CallEnded(call, reply));
    }

    // ---- what the controller calls

    private void handleCall(Call call, long id) {
        if (call.endpoint().equals(settings.state())) {
            store.handle(call, now, reply -> scheduleReply(id, 1, reply));
        } else if (call.endpoint().equals(settings.cloud())) {
            scheduleReply(id, 1, handleCloudCall(call));
        } else if (call.endpoint().equals(settings.peers().get("rig-1"))) {
            peerMessages.add(call);
            JsonNode answer = peer.apply(cbor(call.body()));
            scheduleReplyOrTimeout(id, call, answer == null ? null : new Reply(200, cbor(answer)));
        } else {
            SimulatedAgent worker = agents.get(call.endpoint().toString());
            scheduleReplyOrTimeout(id, call, worker == null ? null : handleDirectCall(worker, call));
        }
    }

    private void scheduleReplyOrTimeout(long id, Call call, Reply reply) {
        scheduleReply(id, reply == null ? call.timeoutMs() : 1, reply == null ? Reply.lost() : reply);
    }

    private Reply handleDirectCall(SimulatedAgent worker, Call call) {
        if (call.path().equals("/show")) {
            return new Reply(200, bytes(worker.heartbeat(now).toString()));
        }
        recordStarts(worker, json(call.body()));
        return worker.receiveCommands(json(call.body()), now);
    }

    private void recordStarts(SimulatedAgent worker, JsonNode message) {
        for (JsonNode order : message.path("orders")) {
            if (order.path("verb").asText().equals("run")) {
                startedOn.put(order.path("shard").asText(), worker.id);
            }
        }
    }

    private Reply handleCloudCall(Call call) {
        if (cloudOutage) {
            return new Reply(503, bytes("{\"error\":\"trouble\"}"));
        }
        if (call.path().equals("/machine_types")) {
            return new Reply(200, bytes(machineTypes));
        }
        if (call.path().equals("/rentals")) {
            return handleRental();
        }
        return new Reply(200, bytes("{\"hosts\":[" + listedHostsJson() + "],\"more\":false}"));
    }

    private Reply handleRental() {
        if (nextRental == 0) {
            return new Reply(503, bytes("{\"error\":\"no capacity\"}"));
        }
        Reply reply = new Reply(200, bytes("{\"hosts\":[\"" + machineId(nextRental) + "\"]}"));
        nextRental = 0;
        return reply;
    }

    private String listedHostsJson() {
        return String.join(
                ",",
                listedMachines.stream()
                        .map(number ->
                                """
                                {"id":"%s","address":"%s","host_type":"small","yard":"%s","loaner":%s,
                                 "phase":"running","held_s":10.0}"""
                                        .formatted(
                                                machineId(number),
                                                address(number),
                                                number == 3 || number == 4 ? "b" : "a",
                                                number == 3))
                        .toList());
    }

    // ---- workers

    private static String machineId(int number) {
        return String.format("i-%06d", number);
    }

    private static String address(int number) {
        return "10.1.0.1:" + (10_000 + number);
    }

    SimulatedAgent newAgent(int number, String zone, boolean spot) {
        return new SimulatedAgent(
                machineId(number),
                address(number),
                "small",
                zone,
                spot,
                AGENT_LEASE_MS,
                now,
                ControllerHarness::description,
                new NoOpWatcher());
    }

    private static SimulatedAgent.Description description(String id) {
        boolean endless = !id.equals("j-000001");
        return new SimulatedAgent.Description(1, 2, 0.5, 0, endless, false);
    }

    /** Orders reach this worker from now on. */
    void makeReachable(SimulatedAgent worker) {
        int number = Integer.parseInt(worker.id.substring(2));
        agents.put(address(number), worker);
    }

    /** This worker is reached by orders and reports by itself from now on. */
    void addAgent(SimulatedAgent worker) {
        makeReachable(worker);
        heartbeatSenders.add(worker);
    }

    void isolate(SimulatedAgent worker) {
        agents.values().remove(worker);
        heartbeatSenders.remove(worker);
    }

    Response heartbeat(SimulatedAgent worker) {
        long session = worker.epoch();
        long sentAt = now;
        Response response = send(
                ListenerKind.CLIENT, "POST", "/hello", worker.heartbeat(now).toString());
        if (response.status() == 200) {
            recordStarts(worker, json(response.body()));
            worker.receiveHeartbeatResponse(new Reply(200, response.body()), session, sentAt, now);
        }
        return response;
    }

    boolean hasStartOn(String machine) {
        return startedOn.containsValue(machine);
    }

    List<Call> directCallsTo(String address) {
        return outboundCalls.stream()
                .filter(call -> call.path().equals("/orders")
                        && call.endpoint().toString().equals(address))
                .toList();
    }

    // ---- requests

    long sendAsync(ListenerKind listener, String method, String path, byte[] body) {
        long id = ++lastExchange;
        process(List.of(new Command.Arrived(new Request(id, listener, method, path, "", body))));
        return id;
    }

    Response send(ListenerKind listener, String method, String path, String body) {
        return awaitResponse(sendAsync(listener, method, path, body == null ? new byte[0] : bytes(body)));
    }

    private Response awaitResponse(long id) {
        if (!responses.containsKey(id)) {
            runUntil(() -> responses.containsKey(id), "answered");
        }
        return responses.get(id);
    }

    Response submit(String job) {
        return send(ListenerKind.CLIENT, "POST", "/submissions", job);
    }

    Response cancel(String id) {
        return send(ListenerKind.CLIENT, "POST", "/submissions/" + id + "/abort", "{}");
    }

    JsonNode job(String id) {
        Response response = send(ListenerKind.CLIENT, "GET", "/submissions/" + id, null);
        assertEquals(200, response.status());
        return json(response.body());
    }

    Response sendAsPeer(byte[] body) {
        return awaitResponse(sendAsync(ListenerKind.PEER, "POST", "/peer", body));
    }

    JsonNode metrics() {
        return json(send(ListenerKind.PEER, "GET", "/metrics", null).body());
    }

    ObjectNode lastPeerMessage() {
        return (ObjectNode) cbor(peerMessages.get(peerMessages.size() - 1).body());
    }

    boolean hasCalled(String path) {
        return outboundCalls.stream().anyMatch(call -> call.path().equals(path));
    }

    /** Whether this controller says that it leads with a term. */
    boolean reportsLeading(long term) {
        return !peerMessages.isEmpty() && lastPeerMessage().path("leading").asLong() == term;
    }

    void assertNoFailures() {
        assertEquals(0, metrics().path("counts").path("failures").asLong(-1));
    }

    private static final class NoOpWatcher implements SimulatedAgent.Watcher {
        @Override
        public void started(SimulatedAgent on, String task) {}

        @Override
        public void ended(SimulatedAgent on, String task) {}

        @Override
        public void completed(String task) {}
    }
}
