package io.quartzgw.simulation;

import java.util.Optional;

/** What users were told of a job that was accepted. */
final class JobRecord {
    private static final long NEVER = Long.MAX_VALUE;

    private final long acceptedAt;
    private long lastResponseAt;
    private Optional<String> terminalState = Optional.empty();
    private long terminalSince = NEVER;
    private long cancellationAcknowledgedAt = NEVER;

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

    void recordResponse(long now) {
        lastResponseAt = now;
    }

    /** The final phase of which users were told first; empty while the job is open. */
    Optional<String> terminalState() {
        return terminalState;
    }

    /** A user is told of a final phase; only the first one counts. */
    void recordTerminalState(String phase, long now) {
        if (terminalState.isEmpty()) {
            terminalState = Optional.of(phase);
            terminalSince = now;
        }
    }

    /** Whether a request of a time was sent after users were told of a final phase other than this one. */
    boolean contradicts(String phase, long sentAt) {
        return terminalState.isPresent() && !terminalState.get().equals(phase) && sentAt > terminalSince;
    }

    /** A user is told that the job is cancelled. */
    void recordCancellation(long now) {
        cancellationAcknowledgedAt = Math.min(cancellationAcknowledgedAt, now);
    }

    /** Whether a user was told that the job is cancelled. */
    boolean isCancellationAcknowledged() {
        return cancellationAcknowledgedAt != NEVER;
    }

    /** Whether a user was told longer ago than a limit that the job is cancelled. */
    boolean isCancellationOlderThan(long limitMs, long now) {
        return isCancellationAcknowledged() && now - cancellationAcknowledgedAt > limitMs;
    }
}
