package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.Leadership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detects that this process was paused or starved of CPU time. */
final class PauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
    /**
     * Shortest gap between batches that counts as a pause, in leader leases. Timers start several batches within a
     * lease, so some were missed in such a gap.
     */
    private static final double MIN_PAUSE_LEASES = 0.5;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final long minPauseMs;
    private long lastBatchAtMs;

    /** @param leaseMs the duration of the leader's lease */
    PauseDetector(EventLoop eventLoop, Leadership leadership, long leaseMs) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.minPauseMs = (long) (MIN_PAUSE_LEASES * leaseMs);
        this.lastBatchAtMs = eventLoop.nowMs();
    }

    /** Compares the start time of this batch with that of the previous one. */
    void onBatchBegin() {
        long gapMs = eventLoop.nowMs() - lastBatchAtMs;
        lastBatchAtMs = eventLoop.nowMs();
        if (gapMs >= minPauseMs) {
            eventLoop.increment("process.pauses", 1);
            eventLoop.increment("process.paused_ms", gapMs);
            logPause(gapMs);
        }
    }

    private void logPause(long durationMs) {
        LOG.atInfo()
                .addKeyValue("duration_ms", durationMs)
                .addKeyValue("leading", leadership.isLeading())
                .addKeyValue("term", leadership.term())
                .addKeyValue("confirmed", leadership.isConfirmed())
                .addKeyValue("confirmed_age_ms", leadership.confirmedAgeMs())
                .log("process was paused");
    }
}
