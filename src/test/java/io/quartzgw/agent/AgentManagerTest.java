package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.FencingTokens;
import io.quartzgw.scheduling.StopReason;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the handling of a start that is sent in a direct call: while the call is in flight, after its reply was lost,
 * and after the attempt has exited meanwhile. The start may also be sent in heartbeat responses.
 */
class AgentManagerTest extends AgentManagerHarness {
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
