package io.quartzgw.startlog;

import io.quartzgw.model.Attempt;

/** A start in the log. A start that is dropped and announced again gets a new entry. */
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

    /** Returns the ID of the target machine. */
    String machine() {
        return machine;
    }

    /** Returns the attempt to be started. */
    Attempt start() {
        return start;
    }

    /** Returns the time at which the start was announced, in event loop time. */
    long announcedAtMs() {
        return announcedAtMs;
    }

    /** Returns whether the state service has acknowledged the entry. */
    boolean isStored() {
        return stored;
    }

    /** Records that the state service has acknowledged the entry. */
    void markStored() {
        stored = true;
    }
}
