package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Checks the invariants of the protocol. The checks use the tasks that machines run, the messages that controllers send
 * and the responses that users receive, not the internal state of controllers, with one exception:
 * {@link LeaderActionChecks} asks the sender of a start whether it has recorded the job's cancellation. Each violation
 * is recorded with its time and the name of the invariant.
 */
public final class ProtocolInvariants implements SimulatedAgent.TaskListener {
    /** After the faults have ended, each accepted job must have a successful request within this time. */
    private static final long RESPONSE_LIMIT_MS = 75_000;
    /**
     * After the faults have ended, no job may wait longer than this while a suitable machine has enough free capacity.
     */
    private static final long WAITING_LIMIT_MS = 90_000;

    private static final String COMPLETED = "done";
    private static final String CANCELLED = "withdrawn";
    private static final int CREATED = 201;

    private final long cancelLimitMs;
    private final LongSupplier clock;
    private final PlacementRules placement;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> startCounts = new HashMap<>();
    private final Map<String, Set<Integer>> completedTasks = new HashMap<>();
    private final Map<String, JobRecord> acceptedJobs = new HashMap<>();
    private final Set<String> cancellationRequested = new HashSet<>();
    private final Map<String, Long> waitingSince = new HashMap<>();
    private int startsAfterCancellation;
    private Consumer<String> onLastTaskCompleted = job -> {};
    private long faultsEndedAt = Long.MAX_VALUE;

    /**
     * @param cancelLimitMs the time after an acknowledged cancellation within which the job's tasks must have ended
     * @param cpuLimits CPU quotas by team; teams without an entry have no quota
     * @param clock returns the simulated time in milliseconds
     */
    ProtocolInvariants(long cancelLimitMs, Map<String, Double> cpuLimits, LongSupplier clock) {
        this.cancelLimitMs = cancelLimitMs;
        this.placement = new PlacementRules(cpuLimits);
        this.clock = clock;
    }

    // ---- observations

    /** The violations so far, in the order in which they were detected. */
    public List<String> violations() {
        return violations;
    }

    /** The number of attempts that have begun to run, over all tasks. */
    public int startCount() {
        return startCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The number of attempts that began to run after their job's cancellation was acknowledged. */
    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** The jobs that have a running task and are not known to have ended, sorted by ID. */
    public List<String> runningJobs() {
        return placement.runningTasks().stream()
                .map(PlacementRules::jobOf)
                .distinct()
                .filter(job -> !hasEnded(job))
                .sorted()
                .toList();
    }

    /** The tasks that are running now. */
    public Set<String> runningTasks() {
        return placement.runningTasks();
    }

    /** The machine on which a task is running now; empty if it is not running. */
    public Optional<String> machineOf(String task) {
        return placement.agentOf(task).map(agent -> agent.id);
    }

    /** The first terminal state of a job that a user received; empty while users have received none. */
    public Optional<String> terminalState(String job) {
        return Optional.ofNullable(acceptedJobs.get(job)).flatMap(JobRecord::terminalState);
    }

    /** Whether the first terminal state that a user received for a job is {@code phase}. */
    public boolean hasEndedIn(String phase, String job) {
        return terminalState(job).filter(phase::equals).isPresent();
    }

    private boolean hasEnded(String job) {
        return terminalState(job).isPresent();
    }

    /** The replicas that are not running, of accepted services that users have not seen ended. */
    public List<String> missingReplicas() {
        List<String> missing = new ArrayList<>();
        for (String job : acceptedJobs.keySet()) {
            if (!placement.isService(job) || hasEnded(job)) {
                continue;
            }
            for (int i = 0; i < placement.taskCount(job); i++) {
                if (!placement.runningTasks().contains(job + "/" + i)) {
                    missing.add(job + "/" + i);
                }
            }
        }
        return missing;
    }

    /** Sets the action that is called with the ID of a job when its last task has completed. */
    void onLastTaskCompleted(Consumer<String> action) {
        this.onLastTaskCompleted = action;
    }

    private void recordViolation(String invariant, String details) {
        violations.add(clock.getAsLong() + " ms: " + invariant + ": " + details);
    }

    // ---- tasks

    @Override
    public void startExecuted(SimulatedAgent agent, String task) {
        if (isCancellationOverdue(PlacementRules.jobOf(task), clock.getAsLong())) {
            recordViolation("ran_cancelled", task + " was started by a late command on " + agent.id);
        }
    }

    /** Records that a controller sent a start while its lease was not confirmed. */
    void recordUnconfirmedStart(String controller, String task) {
        recordViolation("unconfirmed_start", task + " was sent a start by " + controller);
    }

    /** Records that a controller sent a request to delete machines while its lease was not confirmed. */
    void recordUnconfirmedDeletion(String controller) {
        recordViolation("unconfirmed_deletion", "machine deletion requested by " + controller);
    }

    /** Records that a controller sent a start after a controller with a higher term had sent one. */
    void recordSupersededStart(String controller, String task) {
        recordViolation("superseded_start", task + " was sent a start by " + controller);
    }

    /** Records that a controller sent a start for a job whose cancellation it had recorded. */
    void recordCancelledStart(String controller, String task) {
        recordViolation("cancelled_start", task + " was sent a start by " + controller);
    }

    @Override
    public void started(SimulatedAgent agent, String task) {
        startCounts.merge(task, 1, Integer::sum);
        String job = PlacementRules.jobOf(task);
        placement
                .agentOf(task)
                .ifPresent(other -> recordViolation("ran_twice", task + " on " + agent.id + " and " + other.id));
        checkNotCancelled(task, job);
        if (!placement.isMachineAllowed(job, agent)) {
            recordViolation("wrong_place", task + " may not run on " + agent.id);
        }
        if (!placement.keepsZoneSpread(job, agent)) {
            recordViolation("wrong_place", task + " exceeds the job's limit of tasks in zone " + agent.zone);
        }
        if (!placement.keepsSingleZone(job, agent)) {
            recordViolation("wrong_place", task + " is not in the zone of the job's other tasks but in " + agent.zone);
        }
        placement.add(task, agent);
        if (placement.isQuotaExceeded(job)) {
            String team = placement.team(job);
            recordViolation("quota", team + " exceeds its quota, CPUs in use: " + placement.usedCpus(team));
        }
    }

    private void checkNotCancelled(String task, String job) {
        if (!isCancelled(job)) {
            return;
        }
        startsAfterCancellation++;
        if (isCancellationOverdue(job, clock.getAsLong())) {
            recordViolation("ran_cancelled", task + " begins to run");
        }
    }

    private boolean isCancelled(String job) {
        return acceptedJobs.containsKey(job) && acceptedJobs.get(job).isCancellationAcknowledged();
    }

    private boolean isCancellationOverdue(String job, long now) {
        return acceptedJobs.containsKey(job) && acceptedJobs.get(job).isCancellationOlderThan(cancelLimitMs, now);
    }

    @Override
    public void ended(SimulatedAgent agent, String task) {
        placement.remove(task, agent);
    }

    @Override
    public void completed(String task) {
        String job = PlacementRules.jobOf(task);
        int index = Integer.parseInt(task.substring(task.indexOf('/') + 1));
        boolean isFirst =
                completedTasks.computeIfAbsent(job, id -> new HashSet<>()).add(index);
        if (isFirst && completedCount(job) == placement.taskCount(job)) {
            onLastTaskCompleted.accept(job);
        }
    }

    private int completedCount(String job) {
        return completedTasks.getOrDefault(job, Set.of()).size();
    }

    // ---- requests and responses

    /** Records that a user is about to submit a job, for the first time or again. */
    void recordSubmission(JsonNode spec) {
        placement.addJob(spec);
    }

    /** Records that a user is about to cancel a job. */
    void recordCancellationRequest(String job) {
        cancellationRequested.add(job);
    }

    /** Checks the status of a response to a submission: it must not reject a job that was accepted before. */
    void recordRejection(String job, int status) {
        if (acceptedJobs.containsKey(job) && (status == 400 || status == 422)) {
            recordViolation("forgotten", job + " is rejected with status " + status);
        }
    }

    /** Checks the response to an invalid submission: it must reject it, and not with 404. */
    void recordResponseToInvalidJob(String spec, int status) {
        if (status / 100 == 2 || status == 404) {
            recordViolation("accepted", spec + " receives status " + status);
        }
    }

    /** Checks the response to a request for a job that nobody submitted: it must not be a success. */
    void recordResponseForUnknownJob(String job, int status) {
        if (status / 100 == 2) {
            recordViolation("invented", job);
        }
    }

    /**
     * Checks and records the response to a request for a job.
     *
     * @param sentAt when the request was sent: responses may arrive out of order, so the response to an earlier request
     *     may contain an earlier state
     */
    void recordResponse(String job, Reply reply, long sentAt, long now) {
        JobRecord earlier = acceptedJobs.get(job);
        if (reply.status() == 404 && earlier != null && sentAt > earlier.acceptedAtMs()) {
            recordViolation("forgotten", job + " receives status 404");
        }
        if (!reply.ok() && reply.status() != CREATED) {
            return;
        }
        JobRecord jobRecord = acceptedJobs.computeIfAbsent(job, id -> new JobRecord(now));
        jobRecord.recordResponse(now);
        String phase = reply.json().path("phase").asText();
        if (jobRecord.contradicts(phase, sentAt)) {
            recordViolation(
                    "went_back", job + " was " + jobRecord.terminalState().orElseThrow() + " and is " + phase);
        }
        if (phase.equals(COMPLETED)) {
            recordCompletion(job, jobRecord, now);
        } else if (phase.equals(CANCELLED)) {
            recordCancellation(job, jobRecord, now);
        }
    }

    private void recordCompletion(String job, JobRecord jobRecord, long now) {
        jobRecord.recordTerminalState(COMPLETED, now);
        if (completedCount(job) < placement.taskCount(job)) {
            recordViolation("not_done", job);
        }
    }

    private void recordCancellation(String job, JobRecord jobRecord, long now) {
        jobRecord.recordTerminalState(CANCELLED, now);
        jobRecord.recordCancellation(now);
        if (!cancellationRequested.contains(job)) {
            recordViolation("went_back", job + " is cancelled without a request from a user");
        }
    }

    // ---- deadlines

    /** Marks the end of all faults. From now on, requests for each accepted job must succeed within a time limit. */
    public void endFaults(long now) {
        faultsEndedAt = now;
    }

    /**
     * Checks that tasks of cancelled jobs end in time and, after the faults, that requests for each job succeed in
     * time.
     */
    public void checkDeadlines(long now) {
        acceptedJobs.forEach((job, jobRecord) -> {
            if (now > faultsEndedAt
                    && !jobRecord.isCancellationAcknowledged()
                    && now - Math.max(faultsEndedAt, jobRecord.lastResponseAt()) > RESPONSE_LIMIT_MS) {
                recordViolation("forgotten", job + " has no successful request");
            }
        });
        for (String task : placement.runningTasks()) {
            if (isCancellationOverdue(PlacementRules.jobOf(task), now)) {
                recordViolation("ran_cancelled", task + " is still running");
            }
        }
    }

    /**
     * Checks that no job waits too long while a suitable machine has enough free capacity. To be called only after the
     * faults have ended.
     */
    public void checkWaitingJobs(Collection<SimulatedAgent> agents, long now) {
        for (String job : acceptedJobs.keySet()) {
            boolean couldStart = !hasEnded(job)
                    && placement.taskCount(job)
                            > completedCount(job) + placement.agentsOf(job).size()
                    && agents.stream().anyMatch(agent -> placement.canStartTask(job, agent));
            if (!couldStart) {
                waitingSince.remove(job);
            } else if (now - waitingSince.computeIfAbsent(job, id -> now) > WAITING_LIMIT_MS) {
                recordViolation("waiting", job + " waits although a suitable machine has free capacity");
                waitingSince.put(job, now);
            }
        }
    }
}
