package io.quartzgw.scheduling;

import java.util.HashMap;
import java.util.Map;

/** The failed attempts of a job: the backoff before its next attempt, and the machines where it has failed. */
final class FailureHistory {
    /** Keeps the longest delay below the 90 s that a job may wait beside a machine with free capacity. */
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    /** From this many failures in a row on, the job itself is likely to be at fault. */
    private static final int REPEATED_FAILURES = 3;

    private static final long NOT_STARTED = Long.MAX_VALUE;

    /** Until when the job is not scheduled on the machines where it has failed, by machine ID. */
    private final Map<String, Long> excludedUntil = new HashMap<>();

    /** The failures in a row, as of the last one. */
    private int failures;

    private long forgottenAt;
    private long retryAt;
    /** When the first task after the last failure was started, or {@code NOT_STARTED}. */
    private long trialStartedAt = NOT_STARTED;

    private long trialMs;

    /** Records a failed attempt. The backoff doubles with each one, up to a limit. */
    void recordFailure(String machineId, long now, RetryTiming timing) {
        excludedUntil.put(machineId, now + timing.exclusionMs());
        failures = failures(now) + 1;
        forgottenAt = now + timing.forgottenAfterMs();
        trialStartedAt = NOT_STARTED;
        trialMs = timing.trialMs();
        retryAt = now + (timing.initialDelayMs() << Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS));
    }

    /** Records that a task of the job was allocated to a machine. */
    void recordStart(long now) {
        if (trialStartedAt == NOT_STARTED) {
            trialStartedAt = now;
        }
    }

    /** Whether one more task of the job may be started, as far as earlier failures are concerned. */
    boolean allowsStart(long now) {
        return !hasFailedRepeatedly(now) || trialStartedAt == NOT_STARTED || now - trialStartedAt >= trialMs;
    }

    void delayRetry(long until) {
        retryAt = Math.max(retryAt, until);
    }

    /** Records that a task of the job has completed. */
    void recordSuccess() {
        failures = 0;
    }

    /** The failed attempts since a task has last completed, or 0 if the last failure is long ago. */
    int failures(long now) {
        return now < forgottenAt ? failures : 0;
    }

    /** Whether the last attempts have failed, and so many that the job itself is likely to be at fault. */
    boolean hasFailedRepeatedly(long now) {
        return failures(now) >= REPEATED_FAILURES;
    }

    long retryAt() {
        return retryAt;
    }

    boolean excludes(String machineId, long now) {
        return now < excludedUntil.getOrDefault(machineId, Long.MIN_VALUE);
    }

    /** Whether the job has failed on any other machine than this one. */
    boolean hasFailedOutside(String machineId) {
        return excludedUntil.size() > (excludedUntil.containsKey(machineId) ? 1 : 0);
    }

    void clearExcludedMachines() {
        excludedUntil.replaceAll((machineId, until) -> Long.MIN_VALUE);
    }
}
