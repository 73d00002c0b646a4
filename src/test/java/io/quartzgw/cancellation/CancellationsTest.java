package io.quartzgw.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.loop.Kernel;
import io.quartzgw.loop.Time;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CancellationsTest {
    private static final long CANCEL_MS = 36_000;

    private final Kernel kernel = new Kernel(1);
    private final Cancellations here = new Cancellations(kernel, CANCEL_MS);
    private final Cancellations there = new Cancellations(kernel, CANCEL_MS);

    private void time(long now) {
        kernel.handle(List.of(), new Time(now, now));
    }

    private static ObjectNode message(Cancellations from) {
        ObjectNode message = Json.object();
        from.tell(message);
        return message;
    }

    // Guards a leader that hears nothing for as long as its workers' leases may last.
    @Test
    void aCancellationIsNamedForLongerThanTheLimitAndHeardOfOnce() {
        List<String> heard = new ArrayList<>();
        there.listener(heard::add);
        time(1_000);
        assertTrue(here.note("j-000001"));
        assertFalse(here.note("j-000001"), "known already");
        time(1_000 + CANCEL_MS);
        assertTrue(there.take(message(here)));
        there.take(message(here));
        assertEquals(List.of("j-000001"), heard);
        assertTrue(there.knows("j-000001"));
    }

    // Guards the messages' size: names that go back and forth must not stay for ever.
    @Test
    void namesThatGoBackAndForthAreNamedNoLonger() {
        time(0);
        here.note("j-000001");
        for (long now = 500; now < 6 * CANCEL_MS; now += 500) {
            time(now);
            ObjectNode late = message(here);
            time(now + 400);
            there.take(late);
            here.take(message(there));
        }
        assertEquals(0, Cancellations.named(message(here)));
        assertEquals(0, Cancellations.named(message(there)));
        assertTrue(here.isEmpty() && there.isEmpty());
    }

    @Test
    void aMessageStaysSmallAndSaysThatItIsNotWhole() {
        time(0);
        for (int i = 0; i < 5_000; i++) {
            here.note("j-" + (100_000_000 + i));
        }
        ObjectNode message = message(here);
        assertTrue(Json.writeCbor(message).length < 48 * 1024);
        assertFalse(there.take(message));
    }
}
