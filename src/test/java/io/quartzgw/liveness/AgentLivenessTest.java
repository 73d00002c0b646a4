package io.quartzgw.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the freshness of heartbeats and the reachability of agents. */
class AgentLivenessTest {
    private final AgentLiveness liveness = new AgentLiveness(0);

    // A new leader knows no sequence by which it could tell a delayed duplicate.
    @Test
    void heartbeatWithoutThisLeadersTokenIsUnverified() {
        liveness.boundPreviousLeader(30_000);
        assertEquals(AgentLiveness.Freshness.UNVERIFIED, liveness.classify(1, 70, false, false));
        liveness.recordResponse(1_000);
        assertFalse(liveness.verified());
        assertEquals(30_000, liveness.lastResponseAt(), "a former leader may respond until its grace ends");
        assertEquals(AgentLiveness.Freshness.CURRENT, liveness.classify(1, 71, true, false));
        liveness.recordHeartbeat(1, 71, 2_000);
        assertEquals(2_000, liveness.lastResponseAt(), "the agent rejects former leaders");
    }

    // A stale heartbeat must neither renew a lease nor extend a reservation.
    @Test
    void heartbeatNotNewerThanTheLastIsStale() {
        liveness.recordHeartbeat(2, 5, 1_000);
        liveness.recordResponse(1_000);
        assertEquals(AgentLiveness.Freshness.STALE, liveness.classify(2, 5, true, false));
        assertEquals(AgentLiveness.Freshness.STALE, liveness.classify(1, 900, true, false));
        assertEquals(AgentLiveness.Freshness.CURRENT, liveness.classify(3, 1, true, false));
    }

    // Duplicates of the former agent's heartbeats may have higher sequences than the new agent's.
    @Test
    void onlyRepliesToDirectCallsAreCurrentAfterTheAgentIsReplaced() {
        liveness.recordHeartbeat(1, 80, 1_000);
        liveness.agentReplaced(1, 2);
        assertEquals(AgentLiveness.Freshness.CURRENT, liveness.classify(1, 2, true, true));
        liveness.recordHeartbeat(1, 2, 1_500);
        assertEquals(AgentLiveness.Freshness.UNVERIFIED, liveness.classify(1, 81, true, false), "a duplicate");
        assertEquals(AgentLiveness.Freshness.UNVERIFIED, liveness.classify(1, 3, true, false), "or genuine");
        assertEquals(AgentLiveness.Freshness.CURRENT, liveness.classify(1, 4, true, true));
    }

    @Test
    void heartbeatDoesNotMakeAnUnreachableAgentReachable() {
        liveness.recordHeartbeat(1, 1, 0);
        liveness.markUnreachable(500);
        liveness.recordHeartbeat(1, 2, 1_000);
        liveness.markUnreachable(1_500);
        assertTrue(liveness.unreachable());
        assertEquals(500, liveness.unreachableSince());
        liveness.markReachable();
        assertFalse(liveness.unreachable());
    }
}
