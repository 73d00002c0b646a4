package io.quartzgw.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RedirectedAgentsTest {
    private static final long HEARTBEAT_MS = 1_000;
    private static final Endpoint WORKER = new Endpoint("10.1.0.1", 9000);

    private final EventLoop eventLoop = new EventLoop(1);
    private final RedirectedAgents redirected = new RedirectedAgents(eventLoop, HEARTBEAT_MS);

    /** A worker reports, a heartbeat later it is asked, and it answers. */
    private int countAfterReportAndHeartbeat(long now) {
        act(now, () -> redirected.add("i-000001", WORKER));
        List<Command> answers = new ArrayList<>();
        for (Effect effect : act(now + HEARTBEAT_MS, redirected::probe)) {
            answers.add(new Command.CallEnded(((Effect.Send) effect).call(), new Reply(200, new byte[0])));
        }
        eventLoop.processBatch(answers, new ClockReading(now + HEARTBEAT_MS, 0));
        return redirected.count();
    }

    private List<Effect> act(long now, Runnable action) {
        eventLoop.processBatch(List.of(), new ClockReading(now, 0));
        action.run();
        return eventLoop.processBatch(List.of(), new ClockReading(now, 0));
    }

    @Test
    void aWorkerThatReportsHereAndIsReachedCounts() {
        act(0, redirected::probe);
        assertEquals(1, countAfterReportAndHeartbeat(HEARTBEAT_MS));
    }

    // Guards a healthy leader: reports that waited for a node that stood still are no sign of the present.
    @Test
    void whatWaitedForANodeThatStoodStillDoesNotCount() {
        act(0, redirected::probe);
        long awake = 30 * HEARTBEAT_MS;
        act(awake, () -> redirected.add("i-000001", WORKER));
        act(awake + 1, redirected::probe);
        assertEquals(0, countAfterReportAndHeartbeat(awake + HEARTBEAT_MS));
        assertEquals(1, countAfterReportAndHeartbeat(awake + 4 * HEARTBEAT_MS));
    }
}
