package io.quartzgw.startlog;

import io.quartzgw.model.Attempt;

/** A start in the log. A start that is dropped and added again gets a new entry. */
final class LogEntry {
    private final String machine;
    private final Attempt start;
    private final long addedAtMs;
    private boolean stored;

    LogEntry(String machine, Attempt start, long addedAtMs) {
        this.machine = machine;
        this.start = start;
        this.addedAtMs = addedAtMs;
    }

    /** Returns the ID of the target machine. */
    String machine() {
        return machine;
    }

    /** Returns the attempt to be started. */
    Attempt start() {
        return start;
    }

    /** Returns the time at which the start was added, in event loop time. */
    long addedAtMs() {
        return addedAtMs;
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
