package io.quartzgw.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CancellationRegistryTest {
    private static final long CANCEL_MS = 36_000;

    private final EventLoop eventLoop = new EventLoop(1);
    private final CancellationRegistry here = new CancellationRegistry(eventLoop, CANCEL_MS);
    private final CancellationRegistry there = new CancellationRegistry(eventLoop, CANCEL_MS);

    private void time(long now) {
        eventLoop.processBatch(List.of(), new ClockReading(now, now));
    }

    private static ObjectNode message(CancellationRegistry from) {
        ObjectNode message = Json.object();
        from.writeTo(message);
        return message;
    }

    // Guards a leader that hears nothing for as long as its workers' leases may last.
    @Test
    void aCancellationIsNamedForLongerThanTheLimitAndHeardOfOnce() {
        List<String> heard = new ArrayList<>();
        there.listener(heard::add);
        time(1_000);
        assertTrue(here.record("j-000001"));
        assertFalse(here.record("j-000001"), "known already");
        time(1_000 + CANCEL_MS);
        assertTrue(there.readFrom(message(here)));
        there.readFrom(message(here));
        assertEquals(List.of("j-000001"), heard);
        assertTrue(there.contains("j-000001"));
    }

    // Guards the messages' size: names that go back and forth must not stay for ever.
    @Test
    void namesThatGoBackAndForthAreNamedNoLonger() {
        time(0);
        here.record("j-000001");
        for (long now = 500; now < 6 * CANCEL_MS; now += 500) {
            time(now);
            ObjectNode late = message(here);
            time(now + 400);
            there.readFrom(late);
            here.readFrom(message(there));
        }
        assertEquals(0, CancellationRegistry.announcedCount(message(here)));
        assertEquals(0, CancellationRegistry.announcedCount(message(there)));
        assertTrue(here.isEmpty() && there.isEmpty());
    }

    @Test
    void aMessageStaysSmallAndSaysThatItIsNotWhole() {
        time(0);
        for (int i = 0; i < 5_000; i++) {
            here.record("j-" + (100_000_000 + i));
        }
        ObjectNode message = message(here);
        assertTrue(Json.writeCbor(message).length < 48 * 1024);
        assertFalse(there.readFrom(message));
    }
}
