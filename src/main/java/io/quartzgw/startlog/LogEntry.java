package io.quartzgw.startlog;

import io.quartzgw.model.Attempt;

/** A start in the log; one that is withdrawn and announced again is another entry. */
final class LogEntry {
    private final String machine;
    private final Attempt start;
    private final long announcedAtMs;
    private boolean stored;

    LogEntry(String machine, Attempt start, long announcedAtMs) {
        this.machine = machine;
        this.start = start;
        this.announcedAtMs = announcedAtMs;
    }

    /** Returns the ID of the machine that the start is sent to. */
    String machine() {
        return machine;
    }

    /** Returns the attempt that is started. */
    Attempt start() {
        return start;
    }

    /** Returns when the start was announced. */
    long announcedAtMs() {
        return announcedAtMs;
    }

    /** Returns whether the state service has the entry. */
    boolean isStored() {
        return stored;
    }

    /** Records that the state service has the entry. */
    void markStored() {
        stored = true;
    }
}
