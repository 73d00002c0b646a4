package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import io.quartzgw.scheduling.StopReason;
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
import org.junit.jupiter.api.Test;

/**
 * Tests the handling of a start that is sent in a direct call: while the call is in flight, after its reply was lost,
 * and after the attempt has exited meanwhile. The start may also be sent in heartbeat responses.
 */
class AgentManagerTest {
    private static final Endpoint STATE_SERVICE = new Endpoint("10.2.0.1", 1);
    private static final MachineType TYPE =
            new MachineType("t", new Resources(8, 0, 32), 40, 1, 1, 0.3, 10, List.of("a"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final SimulatedStore stateService = new SimulatedStore();
    private final StoreClient store =
            new StoreClient(eventLoop, STATE_SERVICE, new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = Elections.candidate(eventLoop, store);
    private long now;
    private long sequence;
    private long epoch = 1;
    /** Highest token that the agent has seen; it shows the token in its heartbeats. */
    private long shownToken;

    private ClusterState cluster;
    private AgentManager agents;
    private Machine machine;
    private Allocation allocation;
    private final List<Effect.Send> callsInFlight = new ArrayList<>();

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
    private void sendPendingCommands() {
        agents.sendPendingCommands();
        advance(0);
        agents.sendPendingCommands();
        advance(0);
    }

    private Allocation allocate(String id) {
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
    private void advance(long ms) {
        now += ms;
        deliver(eventLoop.processBatch(List.of(), new ClockReading(now, now)));
    }

    /** Advances the clock in steps of one second, so that the leader renews its lease. */
    private void advanceBySeconds(int seconds) {
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
    private void endCall(Reply reply) {
        LoopEvent ended = new LoopEvent.CallEnded(callsInFlight.remove(0).call(), reply);
        deliver(eventLoop.processBatch(List.of(ended), new ClockReading(++now, now)));
    }

    /** Returns the verbs of the commands in the oldest direct call in flight. */
    private List<String> directCommands() {
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
    private List<String> heartbeat(String phase) {
        return verbs(responseTo(phase));
    }

    private JsonNode responseTo(String phase) {
        Heartbeat heartbeat =
                HeartbeatCodec.decode(Json.write(heartbeatBody(phase))).orElseThrow();
        return HeartbeatResponseCodec.encode(agents.respond(agents.receive(heartbeat)));
    }

    /** Sends a heartbeat; the agent shows the token of the response from now on. */
    private void adoptTokenOfResponse(String phase) {
        shownToken = responseTo(phase).path("baton").asLong();
    }

    private ObjectNode heartbeatBody(String phase) {
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

    private Reply rejected() {
        return new Reply(409, Json.write(heartbeatBody("")));
    }

    private Reply executed(String phase) {
        return new Reply(200, Json.write(heartbeatBody(phase)));
    }

    @Test
    void resendsUnansweredStartInNextHeartbeatResponse() {
        endCall(Reply.unanswered());
        assertEquals(List.of("run"), heartbeat(""));
    }

    // A start that arrives after the removal would run the attempt again, after its task was placed elsewhere.
    @Test
    void withholdsRemovalWhileUnansweredStartIsOutstanding() {
        endCall(Reply.unanswered());
        heartbeat("running");
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        assertEquals(List.of("kill"), heartbeat("running"));
        assertFalse(heartbeat("ended").contains("reap"));
        assertTrue(machine.hasNoAllocations(), "capacity is free despite the outstanding start");
    }

    // The attempt was started by a heartbeat response while the direct call with the same start was in flight.
    @Test
    void withholdsRemovalWhileStartIsInFlight() {
        heartbeat("running");
        agents.requestStop(allocation, 0, StopReason.MACHINE_RECLAIMED);
        assertEquals(List.of("kill"), heartbeat("running"));
        assertFalse(heartbeat("ended").contains("reap"), "direct call is in flight");
        endCall(Reply.unanswered());
        assertFalse(heartbeat("ended").contains("reap"), "direct call is unanswered");
    }

    @Test
    void removesExitedAttemptOnceStartIsAnswered() {
        heartbeat("running");
        agents.requestStop(allocation, 0, StopReason.MACHINE_RECLAIMED);
        heartbeat("running");
        assertFalse(heartbeat("ended").contains("reap"), "direct call is in flight");
        endCall(executed("ended"));
        assertEquals(List.of("reap"), heartbeat("ended"));
    }

    // A direct call may overtake a heartbeat response, so that the removal would be executed before the start.
    @Test
    void withholdsRemovalInDirectCallWhileResponseWithStartIsOutstanding() {
        endCall(rejected());
        assertEquals(List.of("run"), heartbeat(""));
        agents.contact(machine);
        advance(0);
        endCall(executed("ended"));
        agents.requestStart(allocate("j-000002"));
        sendPendingCommands();
        assertFalse(directCommands().contains("reap"), "response with the start may still be executed");
        assertEquals(List.of("reap"), heartbeat("ended"), "response with the start was executed or lost");
    }

    // When the reservation of an unreachable machine expires, its tasks are placed elsewhere, except those with an
    // outstanding start.
    @Test
    void startIsOutstandingUntilItsCallIsAnswered() {
        assertTrue(agents.mayDirectCallStart(allocation), "in flight");
        endCall(rejected());
        assertFalse(agents.mayDirectCallStart(allocation), "rejected");
        agents.requestStart(allocation);
        sendPendingCommands();
        endCall(Reply.unanswered());
        assertTrue(agents.mayDirectCallStart(allocation), "unanswered");
    }

    // The unanswered call may reach the agent of the rebooted machine, so the task must not be placed elsewhere.
    @Test
    void keepsAllocationWhenAgentIsReplacedWhileStartIsOutstanding() {
        endCall(Reply.unanswered());
        heartbeat("running");
        agents.contact(machine);
        advance(0);
        sequence = 0;
        endCall(executed(""));
        assertSame(allocation, machine.allocation(allocation.task()));
        assertEquals(List.of("run"), heartbeat(""), "start of the same attempt is sent to the new agent");
    }

    /**
     * Lets the leader detect that the agent was replaced, after it has answered a heartbeat of the new agent. The
     * leader detects it by the reply to a direct call. The new agent of the rebooted machine sent that reply before its
     * heartbeat.
     */
    private void detectAgentReplacement(List<String> expectedCommands) {
        agents.contact(machine);
        advance(0);
        sequence = 0;
        Reply delayedReply = executed("");
        sequence = 10;
        assertEquals(expectedCommands, heartbeat(""), "new agent has the higher sequence");
        endCall(delayedReply);
    }

    // Guards against ran_twice: the leader attributed the response to the replaced agent, although the new agent had
    // received it, and started the task elsewhere.
    @Test
    void keepsAllocationWhenReplacementAgentWasSentStartInResponse() {
        endCall(rejected());
        detectAgentReplacement(List.of("run"));
        assertSame(allocation, machine.allocation(allocation.task()));
        assertFalse(allocation.job().pending().get(0), "new agent may be executing the response");
        assertEquals(List.of("run"), heartbeat(""), "start of the same attempt is sent to the new agent");
    }

    // Guards against capacity that is never freed. Heartbeats of a replacement agent may be duplicates of the replaced
    // agent's and are not current, so none of them shows that an earlier response was executed or dropped.
    @Test
    void freesCapacityOfStoppedAttemptOnceResponseToReplacementAgentTimesOut() {
        endCall(rejected());
        detectAgentReplacement(List.of("run"));
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        heartbeat("");
        assertFalse(machine.hasNoAllocations(), "response may still be executed");
        advanceBySeconds(5);
        agents.contact(machine);
        advance(0);
        endCall(executed(""));
        assertTrue(machine.hasNoAllocations(), "response was executed or dropped");
    }

    // Guards against fencing a machine unnecessarily: a heartbeat response is executed within seconds or never.
    @Test
    void releasesTaskSentInResponseOnceReservationExpires() {
        endCall(rejected());
        detectAgentReplacement(List.of("run"));
        advanceBySeconds(20);
        agents.allAttemptsLost(machine);
        assertTrue(machine.hasNoAllocations());
        assertTrue(allocation.job().pending().get(0));
    }

    // The start was sent only in a heartbeat response, which was lost; the allocation must not be kept forever.
    @Test
    void freesCapacityOfStoppedAttemptWhoseResponseWasLost() {
        endCall(rejected());
        assertEquals(List.of("run"), heartbeat(""));
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        heartbeat("");
        assertTrue(machine.hasNoAllocations(), "attempt can no longer be started");
    }

    // The new agent of a rebooted machine counts its epochs from the first, which is the epoch of the unanswered call.
    @Test
    void keepsAllocationInNewEpochWhileStartIsOutstanding() {
        endCall(Reply.unanswered());
        epoch = 2;
        heartbeat("");
        assertSame(allocation, machine.allocation(allocation.task()));
        assertEquals(List.of("run"), heartbeat(""), "start of the same attempt is sent in the new epoch");
    }

    @Test
    void releasesAllocationInNewEpochIfStartWasNeverSent() {
        endCall(Reply.unsent());
        epoch = 2;
        heartbeat("");
        assertTrue(machine.hasNoAllocations(), "direct call was never sent");
    }

    // Otherwise a late start could run the task on a replacement agent while it also runs elsewhere.
    @Test
    void blocksTaskOfExitedAttemptUntilMachineIsDeleted() {
        endCall(Reply.unanswered());
        heartbeat("running");
        heartbeat("ended");
        assertFalse(allocation.job().pending().get(0), "start is outstanding");
        assertTrue(machine.fencing().hasUnfenced());
        cluster.remove(machine);
        assertTrue(allocation.job().pending().get(0), "attempt can no longer be started");
    }

    @Test
    void returnsTaskOfExitedAttemptToPendingOnceCallIsAnswered() {
        heartbeat("running");
        heartbeat("ended");
        assertFalse(allocation.job().pending().get(0), "direct call is in flight");
        endCall(executed("ended"));
        assertTrue(allocation.job().pending().get(0));
        assertFalse(machine.fencing().hasUnfenced());
    }

    // The late start has reached the new agent of a rebooted machine.
    @Test
    void restoresAllocationWhenLateStartIsExecuted() {
        endCall(Reply.unanswered());
        heartbeat("running");
        heartbeat("ended");
        agents.contact(machine);
        advance(0);
        sequence = 0;
        endCall(executed("running"));
        assertSame(allocation, machine.allocation(allocation.task()));
        assertFalse(machine.fencing().hasUnfenced());
    }

    // Only an unanswered direct call may still start the attempt. The attempt then counts as exited: its capacity is
    // free, but its task is not pending yet.
    @Test
    void freesCapacityOfUnobservedStoppingAttemptWithoutStartingIt() {
        endCall(Reply.unanswered());
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        assertFalse(heartbeat("").contains("run"));
        assertTrue(machine.hasNoAllocations(), "capacity is free");
        assertFalse(allocation.job().pending().get(0), "start is outstanding");
        assertTrue(machine.fencing().hasUnfenced());
        cluster.remove(machine);
        assertTrue(allocation.job().pending().get(0), "attempt can no longer be started");
    }

    // A heartbeat response with the start may still be executed until the agent sends its next heartbeat.
    @Test
    void keepsCapacityOfStoppingAttemptWhileResponseWithStartIsOutstanding() {
        endCall(Reply.unanswered());
        assertEquals(List.of("run"), heartbeat(""));
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        agents.contact(machine);
        advance(0);
        endCall(executed(""));
        assertFalse(machine.hasNoAllocations(), "response with the start may still be executed");
        assertEquals(List.of("kill"), heartbeat(""), "direct call may be executed before this response");
        assertTrue(machine.hasNoAllocations(), "response with the start was executed or lost");
    }

    @Test
    void stopsAttemptStartedAfterStopRequest() {
        endCall(Reply.unanswered());
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        heartbeat("");
        assertEquals(List.of("kill"), heartbeat("running"));
        assertSame(allocation, machine.allocation(allocation.task()));
    }

    @Test
    void raisesTokenAfterUnansweredStart() {
        assertEquals(shownToken, responseTo("").path("baton").asLong());
        endCall(Reply.unanswered());
        assertEquals(shownToken + 1, responseTo("").path("baton").asLong());
        agents.contact(machine);
        advance(0);
        JsonNode call = Json.readOrNull(callsInFlight.get(0).request().body());
        assertEquals(shownToken + 1, call.path("baton").asLong(), "call with a lower token would be rejected");
    }

    @Test
    void keepsTokenAfterAnsweredStart() {
        endCall(executed("running"));
        assertEquals(shownToken, responseTo("running").path("baton").asLong());
    }

    @Test
    void removesExitedAttemptOnceAgentShowsRaisedToken() {
        endCall(Reply.unanswered());
        adoptTokenOfResponse("running");
        assertEquals(List.of("reap"), heartbeat("ended"), "agent rejects the late start");
        assertTrue(machine.fencing().hasUnfenced(), "replacement agent may execute the late start");
    }

    @Test
    void withholdsRemovalFromReplacementAgentThatHasNotShownRaisedToken() {
        endCall(Reply.unanswered());
        adoptTokenOfResponse("running");
        heartbeat("running");
        agents.contact(machine);
        advance(0);
        sequence = 0;
        shownToken = FencingTokens.lowestOf(leadership.term());
        endCall(executed("ended"));
        assertFalse(heartbeat("ended").contains("reap"), "new agent may still execute the start");
    }

    @Test
    void renewsLeaseWithHigherTokenShownByAgent() {
        shownToken += 7;
        assertEquals(shownToken, responseTo("").path("baton").asLong());
    }

    @Test
    void stopsUnansweredStartInEachResponseUntilRaisedTokenIsShown() {
        endCall(Reply.unanswered());
        agents.requestStop(allocation, 0, StopReason.JOB_OVER);
        assertEquals(List.of("kill"), heartbeat(""));
        assertEquals(List.of("kill"), heartbeat(""));
        adoptTokenOfResponse("");
        assertEquals(List.of(), heartbeat(""));
    }

    @Test
    void sendsStartsOnlyInResponsesOnceTokensOfTermAreUsedUp() {
        endCall(executed("running"));
        shownToken = leadership.term();
        heartbeat("running");
        allocation = allocate("j-000002");
        agents.requestStart(allocation);
        sendPendingCommands();
        assertEquals(List.of(), callsInFlight);
        assertEquals(List.of("run"), heartbeat(""));
    }

    @Test
    void warnsOnceOfStartableCancelledAttemptAfterHalfOfTimeLimit() {
        endCall(Reply.unanswered());
        cluster.terminate(allocation.job());
        agents.requestStop(allocation, 0, StopReason.JOB_OVER);
        heartbeat("");
        advanceBySeconds(17);
        heartbeat("");
        agents.reportUnfencedAttempts();
        assertTrue(eventLoop.counters().get("fencing.oldest_unfenced_ms") >= 17_000);
        assertFalse(eventLoop.counters().containsKey("fencing.cancelled_at_risk"));
        advanceBySeconds(1);
        agents.reportUnfencedAttempts();
        agents.reportUnfencedAttempts();
        assertEquals(1, eventLoop.counters().get("fencing.cancelled_at_risk"));
    }

    @Test
    void doesNotWarnOfCancelledAttemptOnceRaisedTokenIsShown() {
        endCall(Reply.unanswered());
        cluster.terminate(allocation.job());
        agents.requestStop(allocation, 0, StopReason.JOB_OVER);
        adoptTokenOfResponse("");
        heartbeat("");
        advanceBySeconds(18);
        heartbeat("");
        agents.reportUnfencedAttempts();
        assertEquals(1, eventLoop.counters().get("fencing.unfenced"));
        assertFalse(eventLoop.counters().containsKey("fencing.cancelled_at_risk"));
    }
}
