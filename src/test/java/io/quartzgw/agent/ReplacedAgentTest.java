package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.leadership.FencingTokens;
import io.quartzgw.scheduling.StopReason;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against {@code ran_twice} by a direct call that the agent of a machine has executed and that arrives again at
 * the agent that has replaced it after a reboot.
 */
class ReplacedAgentTest extends AgentManagerHarness {

    private void startTask() {
        endCall(executed("running"));
        heartbeat("running");
    }

    /** Lets the leader detect the replacement by the reply to a direct call with its present token. */
    private void replaceAgent() {
        agents.contact(machine);
        advance(0);
        sequence = 0;
        shownToken = FencingTokens.lowestOf(leadership.term());
        endCall(executed(""));
    }

    @Test
    void taskIsStartedAgainOnMachineOfReplacedAgent() {
        startTask();
        replaceAgent();
        assertSame(allocation, machine.allocation(allocation.task()));
        assertFalse(allocation.job().pending().get(0), "the start may be executed once more");
        assertEquals(List.of("run"), heartbeat(""), "start of the same attempt");
    }

    @Test
    void replacementAgentIsSentHigherTokenThanEarlierStarts() {
        startTask();
        replaceAgent();
        assertEquals(shownToken + 1, responseTo("").path("baton").asLong());
    }

    @Test
    void stoppingTaskIsReleasedOnceReplacementAgentShowsHigherToken() {
        startTask();
        agents.requestStop(allocation, 0, StopReason.PREEMPTED);
        replaceAgent();
        adoptTokenOfResponse("");
        assertFalse(machine.hasNoAllocations(), "the start may be executed once more");
        advanceBySeconds(3);
        agents.contact(machine);
        advance(0);
        endCall(executed(""));
        assertTrue(machine.hasNoAllocations());
        assertTrue(allocation.job().pending().get(0));
    }
}
