package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.Leadership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notices that this process has stood still: that it was paused, or starved of processor time. */
final class PauseDetector {
    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
    /** Timers begin a batch several times in a leader's lease; with a gap of this fraction of it some were missed. */
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

    /** A batch begins: compares the clock with the one of the batch before. */
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
                .addKeyValue("leading", leadership.leading())
                .addKeyValue("term", leadership.term())
                .addKeyValue("confirmed", leadership.isConfirmed())
                .addKeyValue("confirmed_age_ms", leadership.confirmedAgeMs())
                .log("process was paused");
    }
}
