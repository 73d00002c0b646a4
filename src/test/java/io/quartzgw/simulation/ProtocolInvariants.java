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
 * The invariants of the protocol. They are checked against what the machines run and what users are told, never against
 * the state of controllers; each violation is recorded with its time and the name of the invariant.
 */
public final class ProtocolInvariants implements SimulatedAgent.Watcher {
    /** After all faults, a request about any job succeeds within such a time. */
    private static final long RESPONSE_LIMIT_MS = 75_000;
    /** After all faults, no job waits for so long while a machine that fits has room. */
    private static final long WAITING_LIMIT_MS = 90_000;

    private static final String COMPLETED = "done";
    private static final String CANCELLED = "withdrawn";
    private static final int CREATED = 201;

    private final long cancelLimitMs;
    private final LongSupplier clock;
    private final PlacementRules placement;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> startCounts = new HashMap<>();
    private final Map<String, Set<Integer>> completed = new HashMap<>();
    private final Map<String, JobRecord> acceptedJobs = new HashMap<>();
    private final Set<String> cancellationRequested = new HashSet<>();
    private final Map<String, Long> waitingSince = new HashMap<>();
    private int startsAfterCancellation;
    private Consumer<String> onLastTaskEnded = job -> {};
    private long faultsEndedAt = Long.MAX_VALUE;

    /**
     * @param cancelLimitMs within what time after a user is told of a cancellation the job's tasks are gone
     * @param cpuLimits by team, how many CPUs its tasks may use at once; teams without an entry have no limit
     * @param clock the simulated time
     */
    ProtocolInvariants(long cancelLimitMs, Map<String, Double> cpuLimits, LongSupplier clock) {
        this.cancelLimitMs = cancelLimitMs;
        this.placement = new PlacementRules(cpuLimits);
        this.clock = clock;
    }

    // ---- what was observed

    /** The violations so far. */
    public List<String> violations() {
        return violations;
    }

    /** How many times tasks have begun to run. */
    public int startCount() {
        return startCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** How many tasks began to run after a user was told that their job is cancelled. */
    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** The open jobs of which a task runs, in the order of their ids. */
    public List<String> runningJobs() {
        return placement.runningTasks().stream()
                .map(PlacementRules::jobOf)
                .distinct()
                .filter(job -> !hasEnded(job))
                .sorted()
                .toList();
    }

    /** The tasks that run at present. */
    public Set<String> runningTasks() {
        return placement.runningTasks();
    }

    /** The machine on which a task runs at present; empty while it runs nowhere. */
    public Optional<String> machineOf(String task) {
        return placement.agentOf(task).map(agent -> agent.id);
    }

    /** The final phase of a job as users were told it; empty while it is open. */
    public Optional<String> finalPhase(String job) {
        return Optional.ofNullable(acceptedJobs.get(job)).flatMap(JobRecord::terminalState);
    }

    /** Whether users were told that a job has ended in a phase. */
    public boolean hasEndedIn(String phase, String job) {
        return finalPhase(job).filter(phase::equals).isPresent();
    }

    private boolean hasEnded(String job) {
        return finalPhase(job).isPresent();
    }

    /** The replicas of accepted services that run nowhere, though users were told of no cancellation. */
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

    /** Sets what is called with each job whose last task has just completed. */
    void onLastTaskEnded(Consumer<String> action) {
        this.onLastTaskEnded = action;
    }

    private void recordViolation(String invariant, String details) {
        violations.add(clock.getAsLong() + " ms: " + invariant + ": " + details);
    }

    // ---- tasks

    @Override
    public void startExecuted(SimulatedAgent agent, String task) {
        if (isCancellationOverdue(PlacementRules.jobOf(task), clock.getAsLong())) {
            recordViolation("ran_cancelled", task + " is started on " + agent.id);
        }
    }

    /** A controller sends a command to start a task though its term is not confirmed. */
    void recordUnconfirmedStart(String controller, String task) {
        recordViolation("unconfirmed_start", task + " is started by " + controller);
    }

    /** A controller sends a request to delete machines though its term is not confirmed. */
    void recordUnconfirmedDeletion(String controller) {
        recordViolation("unconfirmed_deletion", "machines are deleted by " + controller);
    }

    /** A controller sends a command to start a task after one with a higher term has done so. */
    void recordSupersededStart(String controller, String task) {
        recordViolation("superseded_start", task + " is started by " + controller);
    }

    /** A controller sends a command to start a task of a job that it knows as cancelled. */
    void recordCancelledStart(String controller, String task) {
        recordViolation("cancelled_start", task + " is started by " + controller);
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
            recordViolation("wrong_place", task + " on " + agent.id);
        }
        if (!placement.keepsZoneSpread(job, agent)) {
            recordViolation("wrong_place", task + " is one too many in " + agent.zone);
        }
        if (!placement.keepsSingleZone(job, agent)) {
            recordViolation("wrong_place", task + " is not with the others in " + agent.zone);
        }
        placement.add(task, agent);
        if (placement.isQuotaExceeded(job)) {
            String team = placement.team(job);
            recordViolation("quota", team + " uses " + placement.usedCpus(team));
        }
    }

    private void checkNotCancelled(String task, String job) {
        if (!isCancelled(job)) {
            return;
        }
        startsAfterCancellation++;
        if (isCancellationOverdue(job, clock.getAsLong())) {
            recordViolation("ran_cancelled", task + " starts");
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
        boolean first = completed.computeIfAbsent(job, id -> new HashSet<>()).add(index);
        if (first && completedCount(job) == placement.taskCount(job)) {
            onLastTaskEnded.accept(job);
        }
    }

    private int completedCount(String job) {
        return completed.getOrDefault(job, Set.of()).size();
    }

    // ---- requests and responses

    /** A user is about to submit a job, or to repeat its submission. */
    void recordSubmission(JsonNode spec) {
        placement.addJob(spec);
    }

    /** A user is about to cancel a job. */
    void recordCancellationRequest(String job) {
        cancellationRequested.add(job);
    }

    /** A submission got a response other than an acceptance: it must not reject a job that was accepted before. */
    void recordRejection(String job, int status) {
        if (acceptedJobs.containsKey(job) && (status == 400 || status == 422)) {
            recordViolation("forgotten", job + " is refused with " + status);
        }
    }

    /** A job that can't run, or is no job, got a response: it must be rejected. */
    void recordResponseToInvalidJob(String spec, int status) {
        if (status / 100 == 2 || status == 404) {
            recordViolation("accepted", spec + " is answered " + status);
        }
    }

    /** A request about a job that nobody submitted got a response: it must be no success. */
    void recordResponseForUnknownJob(String job, int status) {
        if (status / 100 == 2) {
            recordViolation("invented", job);
        }
    }

    /**
     * A request about a job got a response.
     *
     * @param sentAt when the request was sent: a response to an earlier request may tell an earlier state
     */
    void recordResponse(String job, Reply reply, long sentAt, long now) {
        JobRecord known = acceptedJobs.get(job);
        if (reply.status() == 404 && known != null && sentAt > known.acceptedAt()) {
            recordViolation("forgotten", job + " is answered 404");
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
            recordViolation("went_back", job + " is cancelled though nobody asked for it");
        }
    }

    // ---- deadlines

    /** All faults are over: from now on requests about every accepted job have to succeed in time. */
    public void faultsOver(long now) {
        faultsEndedAt = now;
    }

    /** Checks that no task runs too long after its job's cancellation, and that no job is without responses. */
    public void checkDeadlines(long now) {
        acceptedJobs.forEach((job, jobRecord) -> {
            if (now > faultsEndedAt
                    && !jobRecord.isCancellationAcknowledged()
                    && now - Math.max(faultsEndedAt, jobRecord.lastResponseAt()) > RESPONSE_LIMIT_MS) {
                recordViolation("forgotten", job + " gets no answer");
            }
        });
        for (String task : placement.runningTasks()) {
            if (isCancellationOverdue(PlacementRules.jobOf(task), now)) {
                recordViolation("ran_cancelled", task + " is still there");
            }
        }
    }

    /** Checks that no job waits too long while a machine that fits has room; for the time after all faults. */
    public void checkWaitingJobs(Collection<SimulatedAgent> agents, long now) {
        for (String job : acceptedJobs.keySet()) {
            boolean couldStart = !hasEnded(job)
                    && placement.taskCount(job)
                            > completedCount(job) + placement.agentsOf(job).size()
                    && agents.stream().anyMatch(agent -> placement.canStartTask(job, agent));
            if (!couldStart) {
                waitingSince.remove(job);
            } else if (now - waitingSince.computeIfAbsent(job, id -> now) > WAITING_LIMIT_MS) {
                recordViolation("waiting", job + " waits though there is room");
                waitingSince.put(job, now);
            }
        }
    }
}
