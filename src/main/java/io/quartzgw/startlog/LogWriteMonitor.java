package io.quartzgw.startlog;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts when writes of the start log begin to fail, and logs when they succeed again. */
final class LogWriteMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(LogWriteMonitor.class);

    private final EventLoop eventLoop;
    private final LeaderTerm term;
    /** Start time of the first write in the current series of failures; empty after a successful write. */
    private Optional<Long> failingSinceMs = Optional.empty();

    LogWriteMonitor(EventLoop eventLoop, LeaderTerm term) {
        this.eventLoop = eventLoop;
        this.term = term;
    }

    /**
     * Handles a write that failed or got no response.
     *
     * @param waitingStarts the number of starts that are not stored yet
     */
    void onWriteFailed(long startedAtMs, int waitingStarts) {
        if (failingSinceMs.isEmpty()) {
            failingSinceMs = Optional.of(startedAtMs);
            eventLoop.increment("startlog.stalls", 1);
            LOG.atInfo()
                    .addKeyValue("term", term.number())
                    .addKeyValue("waiting", waitingStarts)
                    .log("start log stalled");
        }
    }

    /** Handles a successful write. */
    void onWriteSucceeded() {
        failingSinceMs.ifPresent(since -> LOG.atInfo()
                .addKeyValue("term", term.number())
                .addKeyValue("stalled_ms", eventLoop.nowMs() - since)
                .log("start log resumed"));
        failingSinceMs = Optional.empty();
    }
}
