package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.CloudLimits;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.FencingTokens;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.JobShape;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.startlog.StartLog;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;

/**
 * An agent manager with one machine, whose direct calls stay in flight until a test ends them. At first a direct call
 * with the start of one task is in flight.
 */
abstract class AgentManagerHarness {
    private static final Endpoint STATE_SERVICE = new Endpoint("10.2.0.1", 1);
    static final MachineType TYPE = new MachineType("t", new Resources(8, 0, 32), 40, 1, 1, 0.3, 10, List.of("a"));

    final EventLoop eventLoop = new EventLoop(1);
    private final SimulatedStore stateService = new SimulatedStore();
    private final StoreClient store =
            new StoreClient(eventLoop, STATE_SERVICE, new StoreLimits(100_000, 100_000, 8192, 16));
    final Leadership leadership = Elections.candidate(eventLoop, store);
    long now;
    long sequence;
    long epoch = 1;
    /** Highest token that the agent has seen; it shows the token in its heartbeats. */
    long shownToken;

    ClusterState cluster;
    AgentManager agents;
    Machine machine;
    Allocation allocation;
    final List<Effect.Send> callsInFlight = new ArrayList<>();

    @BeforeEach
    void sendStartInDirectCall() {
        Elections.elect(leadership, this::advance);
        shownToken = FencingTokens.lowestOf(leadership.term());
        cluster = new ClusterState(eventLoop, 1);
        CloudClient cloud = new CloudClient(eventLoop, STATE_SERVICE, new CloudLimits(4, 5_000));
        LeaderTerm term = new LeaderTerm(leadership);
        StartLog startLog = new StartLog(eventLoop, store, term, 2_500);
        agents = new AgentManager(
                new LeaderContext(eventLoop, term, cluster, new MachineCatalog(eventLoop, store, cloud, () -> true)),
                new AgentTiming(2_500, 16_000, 36_000),
                10,
                id -> false,
                startLog,
                (ended, callback) -> callback.accept(new EndedJobs.Outcome.Completed()),
                new IgnoringListener());
        startLog.load(List.of());
        eventLoop.onBatchEnd(startLog::flush);
        agents.beginReconciling();
        machine = new Machine("i-1", TYPE, "a", false, now, now);
        machine.markHasRunTasks();
        cluster.add(machine);
        heartbeat("");
        allocation = allocate("j-000001");
        agents.requestStart(allocation);
        sendPendingCommands();
        assertEquals(1, callsInFlight.size());
    }

    /** Sends the pending commands; their starts are stored in the start log first. */
    void sendPendingCommands() {
        agents.sendPendingCommands();
        advance(0);
        agents.sendPendingCommands();
        advance(0);
    }

    Allocation allocate(String id) {
        Job job = cluster.add(new OpenJob(
                JobSpecBuilder.named(id)
                        .team("team")
                        .shape(JobShape.SERVICE)
                        .demand(2, 0, 4)
                        .build(),
                1,
                0));
        job.recordedStartLimit(1);
        return cluster.allocate(job, 0, machine, cluster.nextAttempt());
    }

    private static final class IgnoringListener implements AgentManager.Listener {
        @Override
        public void taskCompleted(Job job, int index) {}

        @Override
        public void recordNeeded(Machine machine) {}

        @Override
        public void recordNeeded(Job job, int index) {}
    }

    /** Advances the clock. The state service replies immediately; direct calls to the agent stay in flight. */
    void advance(long ms) {
        now += ms;
        deliver(eventLoop.processBatch(List.of(), new ClockReading(now, now)));
    }

    /** Advances the clock in steps of one second, so that the leader renews its lease. */
    void advanceBySeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            advance(1_000);
        }
    }

    private void deliver(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<LoopEvent> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                if (send.request().path().equals("/orders")) {
                    callsInFlight.add(send);
                } else {
                    stateService.handle(
                            send.request(), now, reply -> replies.add(new LoopEvent.CallEnded(send.call(), reply)));
                }
            }
            effects = replies.isEmpty() ? List.of() : eventLoop.processBatch(replies, new ClockReading(++now, now));
        }
    }

    /** Ends the oldest direct call in flight with a reply. */
    void endCall(Reply reply) {
        LoopEvent ended = new LoopEvent.CallEnded(callsInFlight.remove(0).call(), reply);
        deliver(eventLoop.processBatch(List.of(ended), new ClockReading(++now, now)));
    }

    /** Returns the verbs of the commands in the oldest direct call in flight. */
    List<String> directCommands() {
        return verbs(Json.readOrNull(callsInFlight.get(0).request().body()));
    }

    private static List<String> verbs(JsonNode message) {
        List<String> verbs = new ArrayList<>();
        message.path("orders").forEach(command -> verbs.add(command.path("verb").asText()));
        return verbs;
    }

    /**
     * Sends a heartbeat and returns the verbs of the commands in its response.
     *
     * @param phase the phase of the attempt in the heartbeat; empty for no attempt
     */
    List<String> heartbeat(String phase) {
        return verbs(responseTo(phase));
    }

    JsonNode responseTo(String phase) {
        Heartbeat heartbeat =
                HeartbeatCodec.decode(Json.write(heartbeatBody(phase))).orElseThrow();
        return HeartbeatResponseCodec.encode(agents.respond(agents.receive(heartbeat)));
    }

    /** Sends a heartbeat; the agent shows the token of the response from now on. */
    void adoptTokenOfResponse(String phase) {
        shownToken = responseTo(phase).path("baton").asLong();
    }

    ObjectNode heartbeatBody(String phase) {
        ObjectNode body = Json.object()
                .put("host", "i-1")
                .put("address", "10.1.0.2:9000")
                .put("host_type", "t")
                .put("yard", "a")
                .put("loaner", false)
                .put("tenure", epoch)
                .put("counter", ++sequence)
                .put("baton", shownToken);
        var tasks = body.putArray("shards");
        if (!phase.isEmpty()) {
            tasks.addObject()
                    .put("shard", "j-000001/0")
                    .put("try_no", allocation.attempt())
                    .put("phase", phase)
                    .put("exit_cause", "stopped");
        }
        return body;
    }

    Reply rejected() {
        return new Reply(409, Json.write(heartbeatBody("")));
    }

    Reply executed(String phase) {
        return new Reply(200, Json.write(heartbeatBody(phase)));
    }
}
