package io.quartzgw.liveness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.liveness.AgentLiveness.Freshness;
import io.quartzgw.liveness.AgentLiveness.Origin;
import org.junit.jupiter.api.Test;

/** Tests how heartbeats are classified by freshness, and the reachability of agents. */
class AgentLivenessTest {
    private final AgentLiveness liveness = new AgentLiveness(0);

    // A new leader has no earlier heartbeat sequence by which it could detect a delayed duplicate.
    @Test
    void heartbeatWithoutLeaderTokenIsUnverified() {
        liveness.boundPreviousLeaderActivity(30_000);
        assertEquals(Freshness.UNVERIFIED, liveness.classify(new HeartbeatId(1, 70), false, Origin.AGENT));
        liveness.recordResponse(1_000);
        assertFalse(liveness.verified());
        assertEquals(30_000, liveness.lastResponseAt(), "a previous leader may respond until its activity bound");
        assertEquals(Freshness.CURRENT, liveness.classify(new HeartbeatId(1, 71), true, Origin.AGENT));
        liveness.recordHeartbeat(new HeartbeatId(1, 71), 2_000);
        assertEquals(2_000, liveness.lastResponseAt(), "the agent rejects previous leaders");
    }

    // A stale heartbeat must neither renew a lease nor extend a reservation.
    @Test
    void heartbeatNotNewerThanLatestIsStale() {
        liveness.recordHeartbeat(new HeartbeatId(2, 5), 1_000);
        liveness.recordResponse(1_000);
        assertEquals(Freshness.STALE, liveness.classify(new HeartbeatId(2, 5), true, Origin.AGENT));
        assertEquals(Freshness.STALE, liveness.classify(new HeartbeatId(1, 900), true, Origin.AGENT));
        assertEquals(Freshness.CURRENT, liveness.classify(new HeartbeatId(3, 1), true, Origin.AGENT));
    }

    // Duplicates of the previous agent's heartbeats may have higher sequences than the new agent's heartbeats.
    @Test
    void onlyDirectCallRepliesAreCurrentAfterAgentReplacement() {
        liveness.recordHeartbeat(new HeartbeatId(1, 80), 1_000);
        liveness.recordAgentReplacement(new HeartbeatId(1, 2));
        assertEquals(Freshness.CURRENT, liveness.classify(new HeartbeatId(1, 2), true, Origin.DIRECT_CALL));
        liveness.recordHeartbeat(new HeartbeatId(1, 2), 1_500);
        assertEquals(
                Freshness.UNVERIFIED,
                liveness.classify(new HeartbeatId(1, 81), true, Origin.AGENT),
                "may be a duplicate");
        assertEquals(
                Freshness.UNVERIFIED, liveness.classify(new HeartbeatId(1, 3), true, Origin.AGENT), "may be genuine");
        assertEquals(Freshness.CURRENT, liveness.classify(new HeartbeatId(1, 4), true, Origin.DIRECT_CALL));
    }

    @Test
    void heartbeatDoesNotMarkAgentReachable() {
        liveness.recordHeartbeat(new HeartbeatId(1, 1), 0);
        liveness.markUnreachable(500);
        liveness.recordHeartbeat(new HeartbeatId(1, 2), 1_000);
        liveness.markUnreachable(1_500);
        assertTrue(liveness.unreachable());
        assertEquals(500, liveness.unreachableSince());
        liveness.markReachable();
        assertFalse(liveness.unreachable());
    }
}
