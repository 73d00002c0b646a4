package io.quartzgw.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how cancellations are recorded, announced to other controllers, and expired. */
class CancellationRegistryTest {
    private static final long CANCEL_LIMIT_MS = 36_000;

    private final EventLoop eventLoop = new EventLoop(1);
    private final CancellationRegistry local = new CancellationRegistry(eventLoop, CANCEL_LIMIT_MS);
    private final CancellationRegistry remote = new CancellationRegistry(eventLoop, CANCEL_LIMIT_MS);

    private void advanceTo(long nowMs) {
        eventLoop.processBatch(List.of(), new ClockReading(nowMs, nowMs));
    }

    private static ObjectNode messageOf(CancellationRegistry sender) {
        ObjectNode message = Json.object();
        CancellationAnnouncementCodec.encode(sender.announcement(), message);
        return message;
    }

    /**
     * Records the jobs of a message; returns whether the message announces all jobs that its sender has to announce.
     */
    private static boolean receive(CancellationRegistry receiver, JsonNode message) {
        CancellationAnnouncement announcement = CancellationAnnouncementCodec.decode(message);
        receiver.recordAll(announcement);
        return announcement.complete();
    }

    // Guards against lost cancellations at a leader whose inbound traffic is blocked for as long as agents' leases may
    // last.
    @Test
    void announcesCancellationBeyondLimitAndNotifiesListenerOnce() {
        List<String> notified = new ArrayList<>();
        remote.setListener(notified::add);
        advanceTo(1_000);
        assertTrue(local.record("j-000001"));
        assertFalse(local.record("j-000001"), "is recorded already");
        advanceTo(1_000 + CANCEL_LIMIT_MS);
        assertTrue(receive(remote, messageOf(local)));
        receive(remote, messageOf(local));
        assertEquals(List.of("j-000001"), notified);
        assertTrue(remote.contains("j-000001"));
    }

    // Guards against messages that grow without limit: jobs that two controllers announce to each other must expire.
    @Test
    void mutuallyAnnouncedCancellationExpires() {
        advanceTo(0);
        local.record("j-000001");
        for (long nowMs = 500; nowMs < 6 * CANCEL_LIMIT_MS; nowMs += 500) {
            advanceTo(nowMs);
            ObjectNode delayedMessage = messageOf(local);
            advanceTo(nowMs + 400);
            receive(remote, delayedMessage);
            receive(local, messageOf(remote));
        }
        assertEquals(0, local.announcement().size());
        assertEquals(0, remote.announcement().size());
        assertTrue(local.isEmpty() && remote.isEmpty());
    }

    @Test
    void truncatesLargeAnnouncementAndMarksItIncomplete() {
        advanceTo(0);
        for (int i = 0; i < 5_000; i++) {
            local.record("j-" + (100_000_000 + i));
        }
        ObjectNode message = messageOf(local);
        assertTrue(Json.writeCbor(message).length < 48 * 1024);
        assertFalse(receive(remote, message));
    }
}
