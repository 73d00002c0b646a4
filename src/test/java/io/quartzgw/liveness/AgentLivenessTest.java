package io.quartzgw.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What each kind of message can and can't prove. */
class AgentLivenessTest {
    private final AgentLiveness presence = new AgentLiveness(0);

    // Guards the gather window: a new leader knows no older counter to hold a late copy against.
    @Test
    void aReportWithoutThisLeadersTokenIsUnverified() {
        presence.boundPreviousLeader(30_000);
        assertEquals(AgentLiveness.Freshness.UNVERIFIED, presence.classify(1, 70, false, false));
        presence.lastResponseAt(1_000);
        assertFalse(presence.verified());
        assertEquals(30_000, presence.lastResponseAt(), "a former leader may answer it until its grace ends");
        assertEquals(AgentLiveness.Freshness.CURRENT, presence.classify(1, 71, true, false));
        presence.recordHeartbeat(1, 71, 2_000);
        assertEquals(2_000, presence.lastResponseAt(), "no former leader can any more");
    }

    // Guards the hold: a stale report renews nothing, and brings nothing back.
    @Test
    void aReportOlderThanTheLastIsStale() {
        presence.recordHeartbeat(2, 5, 1_000);
        presence.lastResponseAt(1_000);
        assertEquals(AgentLiveness.Freshness.STALE, presence.classify(2, 5, true, false));
        assertEquals(AgentLiveness.Freshness.STALE, presence.classify(1, 900, true, false));
        assertEquals(AgentLiveness.Freshness.CURRENT, presence.classify(3, 1, true, false));
    }

    // Guards a machine with a new worker against copies of the former one's reports, which count higher.
    @Test
    void afterANewWorkerOnlyAnswersToOrdersAreCurrent() {
        presence.recordHeartbeat(1, 80, 1_000);
        presence.agentReplaced(1, 2);
        assertEquals(AgentLiveness.Freshness.CURRENT, presence.classify(1, 2, true, true));
        presence.recordHeartbeat(1, 2, 1_500);
        assertEquals(AgentLiveness.Freshness.UNVERIFIED, presence.classify(1, 81, true, false), "a copy");
        assertEquals(AgentLiveness.Freshness.UNVERIFIED, presence.classify(1, 3, true, false), "or not");
        assertEquals(AgentLiveness.Freshness.CURRENT, presence.classify(1, 4, true, true));
    }

    @Test
    void aWorkerThatLeftAnOrderUnansweredIsReachedOnlyByAnAnswer() {
        presence.recordHeartbeat(1, 1, 0);
        presence.markUnreachable(500);
        presence.recordHeartbeat(1, 2, 1_000);
        presence.markUnreachable(1_500);
        assertTrue(presence.unreachable());
        assertEquals(500, presence.unreachableSince());
        presence.markReachable();
        assertFalse(presence.unreachable());
    }
}
