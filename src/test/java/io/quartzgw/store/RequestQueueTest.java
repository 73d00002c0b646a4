package io.quartzgw.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the order in which queued calls are sent when the budget is insufficient, and which ones are rejected. */
class RequestQueueTest {
    private static final Endpoint SERVICE = new Endpoint("10.2.0.1", 1);
    private static final StoreLimits LIMITS = new StoreLimits(10, 2, 8192, 16);

    private final EventLoop eventLoop = new EventLoop(1);
    private final List<String> sent = new ArrayList<>();
    private final List<Reply> rejected = new ArrayList<>();
    private long nowMs;

    /** Advances the time in steps of one millisecond so that every timer fires when it is due. */
    private void advance(long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
            List<Effect> effects = eventLoop.processBatch(List.of(), new ClockReading(nowMs, nowMs));
            effects.forEach(effect -> sent.add(((Effect.Send) effect).request().path()));
        }
    }

    private void submit(RequestQueue queue, String path, int writes, RequestUrgency urgency) {
        queue.submit(Call.get(SERVICE, path, 1_000), writes, urgency, rejected::add);
    }

    // Guards against reads that wait behind writes: status queries were rejected while only the write budget was
    // exhausted.
    @Test
    void sendsReadWhileWritesWaitForBudget() {
        RequestQueue queue = new RequestQueue(eventLoop, LIMITS, reply -> {});
        for (int i = 0; i < 4; i++) {
            submit(queue, "/write" + i, 1, RequestUrgency.NORMAL);
        }
        submit(queue, "/read", 0, RequestUrgency.NORMAL);
        advance(1);
        assertEquals(List.of("/write0", "/write1", "/read"), sent);
    }

    @Test
    void sendsUrgentWriteBeforeEarlierNormalWriteAndRejectsOverdueWrite() {
        RequestQueue queue = new RequestQueue(eventLoop, LIMITS, reply -> {});
        submit(queue, "/first", 2, RequestUrgency.NORMAL);
        submit(queue, "/normal", 2, RequestUrgency.NORMAL);
        submit(queue, "/urgent", 2, RequestUrgency.HIGH);
        advance(1_100);
        assertEquals(List.of("/first", "/urgent"), sent);
        advance(100);
        assertEquals(1, rejected.size());
        assertEquals(429, rejected.get(0).status());
    }

    // Guards against delayed elections: while the leader was paused, election requests of other controllers waited
    // behind cancellations for longer than the agents' leases.
    @Test
    void sendsElectionBeforeEarlierUrgentWrites() {
        RequestQueue queue = new RequestQueue(eventLoop, LIMITS, reply -> {});
        for (int i = 0; i < 20; i++) {
            submit(queue, "/cancellation" + i, 2, RequestUrgency.HIGH);
        }
        advance(100);
        submit(queue, "/election", 2, RequestUrgency.ELECTION);
        advance(1_000);
        assertEquals(List.of("/cancellation0", "/election"), sent);
    }

    // Guards against starvation of submissions by status queries when users poll much more often than usual.
    @Test
    void sendsWriteBeforeQueuedReads() {
        RequestQueue queue = new RequestQueue(eventLoop, LIMITS, reply -> {});
        for (int i = 0; i < 30; i++) {
            submit(queue, "/read", 0, RequestUrgency.NORMAL);
        }
        advance(10);
        assertEquals(10, sent.size());
        submit(queue, "/write", 1, RequestUrgency.NORMAL);
        advance(150);
        assertEquals("/write", sent.get(10));
    }

    // Guards against two kinds of starvation: urgent writes of a leader must not starve submissions, and
    // submissions must not starve the leader's background writes, on which starts may depend.
    @Test
    void sendsLongWaitingWritesBeforeLaterUrgentWrites() {
        RequestQueue queue = new RequestQueue(eventLoop, LIMITS, reply -> {});
        submit(queue, "/first", 2, RequestUrgency.HIGH);
        submit(queue, "/last", 1, RequestUrgency.BACKGROUND);
        submit(queue, "/normal", 1, RequestUrgency.NORMAL);
        advance(300);
        for (int i = 0; i < 5; i++) {
            submit(queue, "/urgent" + i, 1, RequestUrgency.HIGH);
        }
        advance(1_800);
        assertEquals(List.of("/first", "/normal", "/last", "/urgent0", "/urgent1"), sent);
        assertEquals(List.of(), rejected);
    }
}
