package io.quartzgw.app;

import static io.quartzgw.app.Literals.bytes;
import static io.quartzgw.app.Literals.cbor;
import static io.quartzgw.app.Literals.json;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
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

/**
 * Runs one controller, rig-0 of two as process 17, in simulated time. The harness and the test simulate its
 * environment: the state service, the cloud, the peer rig-1 and the agents.
 */
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
    /** Events to deliver to the controller, by due time. */
    private final TreeMap<Long, List<LoopEvent>> dueEvents = new TreeMap<>();
    /** Responses of the controller, by exchange ID. */
    final Map<Long, Response> responses = new HashMap<>();
    /** Agents that direct calls reach, by address. */
    private final Map<String, SimulatedAgent> agents = new HashMap<>();
    /** The reachable agents that also send heartbeats. */
    private final List<SimulatedAgent> heartbeatSenders = new ArrayList<>();

    private final List<Call> outboundCalls = new ArrayList<>();
    final List<Call> peerMessages = new ArrayList<>();
    /** Machine that received the last start command of a task, by task ID. */
    final Map<String, String> startedOn = new TreeMap<>();

    /** Returns the peer's response to a message, or null if it does not respond. */
    Function<JsonNode, JsonNode> peer = message -> null;

    List<Integer> listedMachines = List.of(1, 2, 3, 4);
    boolean cloudOutage;
    /** Number of the machine that the cloud rents out next; with 0 it has no capacity. */
    int nextRental;

    private long now;
    private long lastExchange;

    /** @param machineTypes the cloud's list of machine types, as JSON */
    ControllerHarness(String machineTypes) {
        this.machineTypes = machineTypes;
    }

    // ---- state service

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

    private void process(List<LoopEvent> events) {
        for (Effect effect : eventLoop.processBatch(events, clockReading())) {
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
            agents.values().forEach(agent -> agent.advanceTo(now));
            if (now % HEARTBEAT_INTERVAL_MS == 0) {
                List.copyOf(heartbeatSenders).forEach(this::heartbeat);
            }
            List<LoopEvent> events = new ArrayList<>();
            while (!dueEvents.isEmpty() && dueEvents.firstKey() <= now) {
                events.addAll(dueEvents.pollFirstEntry().getValue());
            }
            process(events);
        }
    }

    void runUntil(BooleanSupplier condition, String message) {
        for (long end = now + TIMEOUT_MS; now < end && !condition.getAsBoolean(); ) {
            runFor(STEP_MS);
        }
        assertTrue(condition.getAsBoolean(), message);
    }

    /** Delivers the reply of an outbound call to the controller after a delay. */
    private void scheduleReply(long call, long afterMs, Reply reply) {
        dueEvents.computeIfAbsent(now + afterMs, time -> new ArrayList<>()).add(new LoopEvent.CallEnded(call, reply));
    }

    // ---- outbound calls of the controller

    private void handleCall(Call call, long id) {
        if (call.endpoint().equals(settings.state())) {
            store.handle(call, now, reply -> scheduleReply(id, 1, reply));
        } else if (call.endpoint().equals(settings.cloud())) {
            scheduleReply(id, 1, handleCloudCall(call));
        } else if (call.endpoint().equals(settings.peers().get("rig-1"))) {
            peerMessages.add(call);
            JsonNode response = peer.apply(cbor(call.body()));
            scheduleReplyOrTimeout(id, call, response == null ? null : new Reply(200, cbor(response)));
        } else {
            SimulatedAgent agent = agents.get(call.endpoint().toString());
            scheduleReplyOrTimeout(id, call, agent == null ? null : handleDirectCall(agent, call));
        }
    }

    /** Without a reply, the call ends as lost when its timeout expires. */
    private void scheduleReplyOrTimeout(long id, Call call, Reply reply) {
        scheduleReply(id, reply == null ? call.timeoutMs() : 1, reply == null ? Reply.unanswered() : reply);
    }

    private Reply handleDirectCall(SimulatedAgent agent, Call call) {
        if (call.path().equals("/show")) {
            return new Reply(200, bytes(agent.heartbeat(now).toString()));
        }
        recordStarts(agent, json(call.body()));
        return agent.receiveCommands(json(call.body()), now);
    }

    private void recordStarts(SimulatedAgent agent, JsonNode message) {
        for (JsonNode command : message.path("orders")) {
            if (command.path("verb").asText().equals("run")) {
                startedOn.put(command.path("shard").asText(), agent.id);
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

    // ---- agents

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
                ControllerHarness::taskProfile,
                new NoOpWatcher());
    }

    private static SimulatedAgent.TaskProfile taskProfile(String jobId) {
        boolean service = !jobId.equals("j-000001");
        return new SimulatedAgent.TaskProfile(1, 2, 0.5, 0, service, false);
    }

    /** From now on direct calls reach this agent. */
    void makeReachable(SimulatedAgent agent) {
        int number = Integer.parseInt(agent.id.substring(2));
        agents.put(address(number), agent);
    }

    /** From now on direct calls reach this agent, and it sends heartbeats. */
    void addAgent(SimulatedAgent agent) {
        makeReachable(agent);
        heartbeatSenders.add(agent);
    }

    /** From now on direct calls don't reach this agent, and it sends no heartbeats. */
    void isolate(SimulatedAgent agent) {
        agents.values().remove(agent);
        heartbeatSenders.remove(agent);
    }

    Response heartbeat(SimulatedAgent agent) {
        long epoch = agent.epoch();
        long sentAt = now;
        Response response =
                send(ListenerKind.CLIENT, "POST", "/hello", agent.heartbeat(now).toString());
        if (response.status() == 200) {
            recordStarts(agent, json(response.body()));
            agent.receiveHeartbeatResponse(new Reply(200, response.body()), epoch, sentAt, now);
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

    /** Sends a request without waiting for the response; returns the exchange ID. */
    long sendAsync(ListenerKind listener, String method, String path, byte[] body) {
        long id = ++lastExchange;
        process(List.of(new LoopEvent.RequestReceived(new Request(id, listener, method, path, "", body))));
        return id;
    }

    /** Sends a request and waits for the response. */
    Response send(ListenerKind listener, String method, String path, String body) {
        return awaitResponse(sendAsync(listener, method, path, body == null ? new byte[0] : bytes(body)));
    }

    private Response awaitResponse(long id) {
        if (!responses.containsKey(id)) {
            runUntil(() -> responses.containsKey(id), "response received");
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

    /** Returns whether the controller's last message to its peer reports that it leads this term. */
    boolean reportsLeading(long term) {
        return !peerMessages.isEmpty() && lastPeerMessage().path("leading").asLong() == term;
    }

    void assertNoFailures() {
        assertEquals(0, metrics().path("counts").path("failures").asLong(-1));
    }

    private static final class NoOpWatcher implements SimulatedAgent.TaskListener {
        @Override
        public void started(SimulatedAgent on, String task) {}

        @Override
        public void ended(SimulatedAgent on, String task) {}

        @Override
        public void completed(String task) {}
    }
}
