package io.quartzgw.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    private final EventLoop eventLoop = new EventLoop(1);
    private final List<String> order = new ArrayList<>();

    private static LoopEvent.RequestReceived request(long exchange) {
        return new LoopEvent.RequestReceived(new Request(exchange, ListenerKind.CLIENT, "GET", "/", "", new byte[0]));
    }

    // Guards against outdated responses: a response built while its request is handled lacks the changes made by later
    // events of the batch.
    @Test
    void runsDeferredTasksOnceBetweenTimersAndBatchEnd() {
        eventLoop.after(0, () -> order.add("timer"));
        eventLoop.onBatchEnd(() -> order.add("end"));
        eventLoop.onRequest(request -> {
            order.add("request " + request.exchange());
            eventLoop.afterEvents(() -> order.add("response " + request.exchange()));
        });
        eventLoop.processBatch(List.of(request(1), request(2)), new ClockReading(0, 0));
        eventLoop.processBatch(List.of(), new ClockReading(1, 1));
        assertEquals(List.of("request 1", "request 2", "timer", "response 1", "response 2", "end", "end"), order);
    }
}
