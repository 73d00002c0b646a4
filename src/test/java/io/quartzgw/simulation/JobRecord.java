package io.quartzgw.simulation;

import java.util.Optional;

/** What users were told of a job that was accepted. */
final class JobRecord {
    private static final long NEVER = Long.MAX_VALUE;

    private final long acceptedAt;
    private long lastResponseAt;
    private Optional<String> finalPhase = Optional.empty();
    private long finalSince = NEVER;
    private long cancelledAt = NEVER;

    /** Makes the record of a job of which users are told for the first time. */
    JobRecord(long acceptedAt) {
        this.acceptedAt = acceptedAt;
        this.lastResponseAt = acceptedAt;
    }

    /** When users were first told that the job is accepted. */
    long acceptedAt() {
        return acceptedAt;
    }

    /** When a user was last told anything of the job. */
    long lastResponseAt() {
        return lastResponseAt;
    }

    void responded(long now) {
        lastResponseAt = now;
    }

    /** The final phase of which users were told first; empty while the job is open. */
    Optional<String> finalPhase() {
        return finalPhase;
    }

    /** A user is told of a final phase; only the first one counts. */
    void end(String phase, long now) {
        if (finalPhase.isEmpty()) {
            finalPhase = Optional.of(phase);
            finalSince = now;
        }
    }

    /** Whether a request of a time was sent after users were told of a final phase other than this one. */
    boolean contradicts(String phase, long sentAt) {
        return finalPhase.isPresent() && !finalPhase.get().equals(phase) && sentAt > finalSince;
    }

    /** A user is told that the job is cancelled. */
    void cancelled(long now) {
        cancelledAt = Math.min(cancelledAt, now);
    }

    /** Whether a user was told that the job is cancelled. */
    boolean isCancelled() {
        return cancelledAt != NEVER;
    }

    /** Whether a user was told longer ago than a limit that the job is cancelled. */
    boolean isCancelledLongerThan(long limitMs, long now) {
        return isCancelled() && now - cancelledAt > limitMs;
    }
}
