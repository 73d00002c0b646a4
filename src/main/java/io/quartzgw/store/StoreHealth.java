package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Reply;
import java.util.function.Consumer;

/**
 * Tracks whether the state service responds to this controller, from the replies to all calls and, during failures, to
 * probes.
 */
final class StoreHealth {
    /** The service is considered unreachable when all calls have failed for this long. */
    static final int UNAVAILABLE_AFTER_MS = 400;

    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long NOT_FAILING = Long.MAX_VALUE;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EventLoop eventLoop;
    private final Consumer<Runnable> probeSender;
    private boolean probing;
    private long lastResponseAtMs = NEVER;
    private long failingSinceMs = NOT_FAILING;

    /** @param probeSender sends a probe and runs its argument after the reply, which is recorded like any other */
    StoreHealth(EventLoop eventLoop, Consumer<Runnable> probeSender) {
        this.eventLoop = eventLoop;
        this.probeSender = probeSender;
    }

    /** Records the result of a call. */
    void record(Reply reply) {
        if (reply.status() == Reply.NO_RESPONSE || reply.status() == SERVICE_UNAVAILABLE) {
            failingSinceMs = Math.min(failingSinceMs, eventLoop.nowMs());
            scheduleProbe();
        } else {
            lastResponseAtMs = eventLoop.nowMs();
            failingSinceMs = NOT_FAILING;
        }
    }

    boolean reachable() {
        return eventLoop.nowMs() - failingSinceMs < UNAVAILABLE_AFTER_MS;
    }

    boolean failingLongerThan(long durationMs) {
        return eventLoop.nowMs() - failingSinceMs > durationMs;
    }

    boolean respondedWithin(long durationMs) {
        return eventLoop.nowMs() - lastResponseAtMs <= durationMs;
    }

    // User requests are rejected immediately while the service is unavailable, so without probes no call might detect
    // its recovery.
    private void scheduleProbe() {
        if (!probing) {
            probing = true;
            eventLoop.after(UNAVAILABLE_AFTER_MS, () -> probeSender.accept(this::onProbeReply));
        }
    }

    private void onProbeReply() {
        probing = false;
        if (failingSinceMs != NOT_FAILING) {
            scheduleProbe();
        }
    }
}
