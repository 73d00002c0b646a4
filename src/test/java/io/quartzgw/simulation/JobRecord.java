package io.quartzgw.simulation;

import java.util.Optional;

/** What users have learned about an accepted job from the responses they received. */
final class JobRecord {
    private static final long NEVER = Long.MAX_VALUE;

    private final long acceptedAtMs;
    private long lastResponseAt;
    private Optional<String> terminalState = Optional.empty();
    private long terminalSince = NEVER;
    private long cancellationAcknowledgedAt = NEVER;

    /** Creates the record on the first successful response for a job. */
    JobRecord(long acceptedAtMs) {
        this.acceptedAtMs = acceptedAtMs;
        this.lastResponseAt = acceptedAtMs;
    }

    /** When a user first received a successful response for the job. */
    long acceptedAtMs() {
        return acceptedAtMs;
    }

    /** When a user last received a successful response for the job. */
    long lastResponseAt() {
        return lastResponseAt;
    }

    void recordResponse(long now) {
        lastResponseAt = now;
    }

    /** The first terminal state that a user received; empty while users have received none. */
    Optional<String> terminalState() {
        return terminalState;
    }

    /** Records a terminal state that a user received; only the first one is kept. */
    void recordTerminalState(String phase, long now) {
        if (terminalState.isEmpty()) {
            terminalState = Optional.of(phase);
            terminalSince = now;
        }
    }

    /**
     * Whether a response's phase contradicts the terminal state that a user had received before its request was sent.
     */
    boolean contradicts(String phase, long sentAt) {
        return terminalState.isPresent() && !terminalState.get().equals(phase) && sentAt > terminalSince;
    }

    /** Records that a user received the cancelled state; the earliest time is kept. */
    void recordCancellation(long now) {
        cancellationAcknowledgedAt = Math.min(cancellationAcknowledgedAt, now);
    }

    /** Whether the cancellation is acknowledged: a user has received the cancelled state. */
    boolean isCancellationAcknowledged() {
        return cancellationAcknowledgedAt != NEVER;
    }

    /** Whether the cancellation was acknowledged more than {@code limitMs} ago. */
    boolean isCancellationOlderThan(long limitMs, long now) {
        return isCancellationAcknowledged() && now - cancellationAcknowledgedAt > limitMs;
    }
}
