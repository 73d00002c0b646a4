package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.scheduling.StopReason;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against {@code ran_twice} and {@code ran_cancelled} by a direct call that arrives again after the agent has
 * removed the attempts that it started.
 */
class RemovalFenceTest extends AgentManagerHarness {
    private static final int LEASE_S = 16;

    /** Lets the direct call start the attempt, and stops the attempt again. */
    private void startAndStop() {
        endCall(executed("running"));
        heartbeat("running");
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        sendPendingCommands();
        endCall(executed("ended"));
    }

    private static boolean removes(JsonNode response) {
        return response.path("orders").findValuesAsText("verb").contains("reap");
    }

    @Test
    void removalHasHigherTokenThanStart() {
        long startToken = shownToken;
        startAndStop();
        JsonNode response = responseTo("ended");
        assertTrue(removes(response));
        assertEquals(startToken + 1, response.path("baton").asLong());
        assertEquals(1, eventLoop.counters().get("fencing.tokens_raised_for_removals"));
        agents.reportUnfencedAttempts();
        assertEquals(1, eventLoop.counters().get("fencing.tokens_used"));
    }

    @Test
    void directCallDoesNotRemoveAttemptWithTokenOfItsStart() {
        startAndStop();
        agents.requestStart(allocate("j-000002"));
        sendPendingCommands();
        assertTrue(directCommands().contains("run"));
        assertFalse(directCommands().contains("reap"));
    }

    @Test
    void startInFlightIsNotRejectedByTokenOfRemoval() {
        startAndStop();
        agents.requestStart(allocate("j-000002"));
        sendPendingCommands();
        JsonNode response = responseTo("ended");
        assertFalse(removes(response));
        assertEquals(shownToken, response.path("baton").asLong());
    }

    @Test
    void machineIsNotUsedForJobUntilItsAttemptIsRemoved() {
        startAndStop();
        assertEquals(Set.of("j-000001"), machine.exclusions().refusedJobs());
        responseTo("ended");
        assertEquals(Set.of(), machine.exclusions().refusedJobs(), "a direct call now removes the attempt first");
    }

    // Without this limit, a machine with many short tasks would use up the tokens of a term within an hour.
    @Test
    void removalsOfEndedJobsShareRaisesOfTokenForOneLease() {
        startAndStop();
        shownToken = responseTo("ended").path("baton").asLong();
        heartbeat("");
        allocation = allocate("j-000001");
        agents.requestStart(allocation);
        sendPendingCommands();
        endCall(executed("running"));
        cluster.terminate(allocation.job());
        agents.requestStop(allocation, 0, StopReason.JOB_OVER);
        sendPendingCommands();
        endCall(executed("ended"));
        assertFalse(removes(responseTo("ended")));
        advanceBySeconds(LEASE_S);
        assertTrue(removes(responseTo("ended")));
    }

    @Test
    void attemptIsRemovedOnceTokensOfTermAreUsedUp() {
        endCall(executed("running"));
        shownToken = leadership.term();
        heartbeat("running");
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        sendPendingCommands();
        endCall(executed("ended"));
        assertTrue(removes(responseTo("ended")), "starts are not sent directly with the last token");
    }

    @Test
    void attemptStartedInResponseIsRemovedWithoutHigherToken() {
        endCall(rejected());
        heartbeat("");
        heartbeat("running");
        JsonNode response = responseTo("ended");
        assertTrue(removes(response));
        assertEquals(shownToken, response.path("baton").asLong());
    }
}
