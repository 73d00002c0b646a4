package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RedirectedAgentsTest {
    private static final long HEARTBEAT_MS = 1_000;
    private static final Endpoint AGENT = new Endpoint("10.1.0.1", 9000);

    private final EventLoop eventLoop = new EventLoop(1);
    private final RedirectedAgents redirectedAgents = new RedirectedAgents(eventLoop, HEARTBEAT_MS);

    /** Records a heartbeat of an agent, probes it one heartbeat interval later and delivers its response. */
    private int countAfterHeartbeatAndProbe(long nowMs) {
        runAt(nowMs, () -> redirectedAgents.add("i-000001", AGENT));
        List<LoopEvent> responses = new ArrayList<>();
        for (Effect effect : runAt(nowMs + HEARTBEAT_MS, redirectedAgents::probe)) {
            responses.add(new LoopEvent.CallEnded(((Effect.Send) effect).call(), new Reply(200, new byte[0])));
        }
        eventLoop.processBatch(responses, new ClockReading(nowMs + HEARTBEAT_MS, 0));
        return redirectedAgents.count();
    }

    private List<Effect> runAt(long nowMs, Runnable action) {
        eventLoop.processBatch(List.of(), new ClockReading(nowMs, 0));
        action.run();
        return eventLoop.processBatch(List.of(), new ClockReading(nowMs, 0));
    }

    @Test
    void countsAgentThatRespondsToProbe() {
        runAt(0, redirectedAgents::probe);
        assertEquals(1, countAfterHeartbeatAndProbe(HEARTBEAT_MS));
    }

    // Guards against the deposition of a healthy leader: heartbeats queued while this controller was paused are
    // outdated.
    @Test
    void ignoresHeartbeatsQueuedWhileControllerWasPaused() {
        runAt(0, redirectedAgents::probe);
        long resumedMs = 30 * HEARTBEAT_MS;
        runAt(resumedMs, () -> redirectedAgents.add("i-000001", AGENT));
        runAt(resumedMs + 1, redirectedAgents::probe);
        assertEquals(0, countAfterHeartbeatAndProbe(resumedMs + HEARTBEAT_MS));
        assertEquals(1, countAfterHeartbeatAndProbe(resumedMs + 4 * HEARTBEAT_MS));
    }
}
