package io.quartzgw.startlog;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports when the log of starts can't be written, and when it is written again. */
final class LogWriteMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(LogWriteMonitor.class);

    private final EventLoop eventLoop;
    private final LeaderTerm term;
    /** When the first of the writes that have failed was begun, unless the last one has succeeded. */
    private Optional<Long> failingSinceMs = Optional.empty();

    LogWriteMonitor(EventLoop eventLoop, LeaderTerm term) {
        this.eventLoop = eventLoop;
        this.term = term;
    }

    /** Handles a write that failed or had no answer, while some starts wait to be stored. */
    void onWriteFailed(long begunAtMs, int waitingStarts) {
        if (failingSinceMs.isEmpty()) {
            failingSinceMs = Optional.of(begunAtMs);
            eventLoop.increment("startlog.stalls", 1);
            LOG.atInfo()
                    .addKeyValue("term", term.number())
                    .addKeyValue("waiting", waitingStarts)
                    .log("start log stalled");
        }
    }

    /** Handles a write that was answered. */
    void onWriteSucceeded() {
        failingSinceMs.ifPresent(since -> LOG.atInfo()
                .addKeyValue("term", term.number())
                .addKeyValue("stalled_ms", eventLoop.nowMs() - since)
                .log("start log resumed"));
        failingSinceMs = Optional.empty();
    }
}
