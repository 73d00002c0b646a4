package io.quartzgw.scheduling;

import java.util.HashSet;
import java.util.Set;

/** The failed attempts of a job: the backoff before its next attempt, and the machines where it has failed. */
final class FailureHistory {
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final Set<String> excludedMachines = new HashSet<>();
    private final Set<String> failedMachines = new HashSet<>();
    private int failures;
    private long retryAt;

    /** Records a failed attempt. The backoff doubles with each one, up to a limit. */
    void recordFailure(String machineId, long now, long initialBackoffMs) {
        excludedMachines.add(machineId);
        failedMachines.add(machineId);
        failures++;
        retryAt = now + (initialBackoffMs << Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS));
    }

    void delayRetry(long until) {
        retryAt = Math.max(retryAt, until);
    }

    int failures() {
        return failures;
    }

    long retryAt() {
        return retryAt;
    }

    boolean excludes(String machineId) {
        return excludedMachines.contains(machineId);
    }

    /** Whether the job has failed on any other machine than this one. */
    boolean hasFailedOutside(String machineId) {
        return failedMachines.size() > (failedMachines.contains(machineId) ? 1 : 0);
    }

    void clearExcludedMachines() {
        excludedMachines.clear();
    }
}
