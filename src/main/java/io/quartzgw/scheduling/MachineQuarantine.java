package io.quartzgw.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps tasks away from a machine on which tasks fail, as a circuit breaker does.
 *
 * <p>The quarantine begins when two failures point at the machine, and ends after a limited time. The machine is then
 * on probation, for a limited time as well: one task at a time is allocated to it, and a further failure that points at
 * the machine begins the next quarantine. It ends at once when a task completes on the machine, or when the failed jobs
 * turn out to fail elsewhere, too. So every state but {@link State#IN_USE} ends by the passing of time alone.
 */
public final class MachineQuarantine {
    /** The number of failures that have to point at the machine. */
    private static final int REQUIRED_FAILURES = 2;

    /** The state of a machine. */
    enum State {
        /** Tasks are allocated to it. */
        IN_USE,
        /** No tasks are allocated to it. */
        QUARANTINED,
        /** One task at a time is allocated to it. */
        PROBATION
    }

    /** Why a machine is in use again. */
    enum EndReason {
        /** A task has completed on the machine. */
        TASK_COMPLETED,
        /** The jobs have failed on other machines, too. */
        JOBS_AT_FAULT,
        /** The probation has ended without a further failure. */
        PROBATION_PASSED
    }

    private final String machineId;
    /** The jobs that have failed on the machine since a task last completed there or it was last in use, by ID. */
    private final Map<String, FailedJob> failedJobs = new LinkedHashMap<>();

    private State state = State.IN_USE;
    private long stateSinceMs;
    private int consecutiveQuarantines;

    /**
     * A job that has failed on the machine.
     *
     * @param failedAtMs when it failed there; the last time if the job has completed tasks, otherwise the first
     * @param repeated whether it has failed again after it had been started there again
     */
    private record FailedJob(Job job, long failedAtMs, boolean repeated) {}

    MachineQuarantine(String machineId) {
        this.machineId = machineId;
    }

    /** Records that a task of a job has ended with an error on the machine. */
    public void recordFailure(Allocation failed, long nowMs) {
        Job job = failed.job();
        failedJobs.values().removeIf(other -> other.job().isTerminal() && !pointsAtMachine(other.job()));
        FailedJob previous = failedJobs.get(job.id());
        if (previous == null) {
            failedJobs.put(job.id(), new FailedJob(job, nowMs, false));
        } else if (job.completedCount() > 0) {
            boolean repeated = previous.repeated() || failed.allocatedAt() > previous.failedAtMs();
            failedJobs.put(job.id(), new FailedJob(job, nowMs, repeated));
        }
    }

    /** Records that a task has completed on the machine. */
    public void recordSuccess() {
        failedJobs.clear();
    }

    // A job that was submitted with a mistake completes no task, and fails wherever it is started.
    private boolean pointsAtMachine(Job job) {
        return job.completedCount() > 0 || !job.hasFailedOutside(machineId);
    }

    private int failuresPointingAtMachine() {
        int failures = 0;
        for (FailedJob failed : failedJobs.values()) {
            if (pointsAtMachine(failed.job())) {
                failures += failed.repeated() ? REQUIRED_FAILURES : 1;
            }
        }
        return failures;
    }

    private boolean hasFailedInThisState() {
        return failedJobs.values().stream()
                .anyMatch(failed -> failed.failedAtMs() >= stateSinceMs && pointsAtMachine(failed.job()));
    }

    /** The state since the last {@link #update}. */
    State state() {
        return state;
    }

    /** Whether no tasks are allocated to the machine. */
    boolean isActive() {
        return state == State.QUARANTINED;
    }

    /** Whether one more task may be allocated to the machine, in view of those that are allocated to it. */
    boolean admitsTask(Iterable<Allocation> allocations) {
        if (state != State.PROBATION) {
            return state == State.IN_USE;
        }
        for (Allocation allocation : allocations) {
            if (allocation.allocatedAt() >= stateSinceMs) {
                return false;
            }
        }
        return true;
    }

    /** Returns the IDs of the jobs whose failures point at the machine. */
    List<String> failedJobs() {
        return failedJobs.values().stream()
                .map(FailedJob::job)
                .filter(this::pointsAtMachine)
                .map(Job::id)
                .toList();
    }

    /** Returns how long the current quarantine lasts at most. */
    long durationMs(QuarantineTiming timing) {
        return timing.durationMs(consecutiveQuarantines);
    }

    /** Changes the state if the failures or the time require it. */
    void update(QuarantineTiming timing, Listener listener, long nowMs) {
        if (failedJobs.isEmpty() && state == State.IN_USE) {
            return;
        }
        boolean atFault = failuresPointingAtMachine() >= REQUIRED_FAILURES;
        if (!atFault) {
            if (state != State.IN_USE) {
                end(failedJobs.isEmpty() ? EndReason.TASK_COMPLETED : EndReason.JOBS_AT_FAULT, listener, nowMs);
            }
        } else if (state == State.IN_USE || (state == State.PROBATION && hasFailedInThisState())) {
            consecutiveQuarantines++;
            enter(State.QUARANTINED, nowMs);
            listener.quarantined();
        } else if (state == State.QUARANTINED && nowMs - stateSinceMs >= durationMs(timing)) {
            enter(State.PROBATION, nowMs);
            listener.probationBegun();
        } else if (state == State.PROBATION && nowMs - stateSinceMs >= timing.probationMs()) {
            failedJobs.clear();
            end(EndReason.PROBATION_PASSED, listener, nowMs);
        }
    }

    private void enter(State next, long nowMs) {
        state = next;
        stateSinceMs = nowMs;
    }

    private void end(EndReason reason, Listener listener, long nowMs) {
        enter(State.IN_USE, nowMs);
        consecutiveQuarantines = 0;
        listener.ended(reason);
    }

    /** Receives the changes of the state. */
    interface Listener {
        /** A quarantine has begun. */
        void quarantined();

        /** The quarantine has ended, and the probation has begun. */
        void probationBegun();

        /** The machine is in use again. */
        void ended(EndReason reason);
    }
}
