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

/** Watches machines and users' answers, and notes every breach of the protocol's rules. */
public final class ProtocolInvariants implements SimulatedAgent.Watcher {
    /** Once all troubles are over, every job has an answered question in such a time. */
    private static final long ANSWERED_MS = 75_000;
    /** Once all troubles are over, no job waits so long while a machine that fits has room. */
    private static final long WAITING_MS = 90_000;

    private final long cancelMs;
    private final Map<String, Double> limits;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, JsonNode> specs = new HashMap<>();
    private final Map<String, SimulatedAgent> running = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Set<Integer>> completed = new HashMap<>();
    private final Map<String, String> lastFinal = new HashMap<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final Set<String> recordCancellationRequest = new HashSet<>();
    private final Map<String, Long> waitingSince = new HashMap<>();
    private int startsAfterCancellation;
    private Consumer<String> lastTaskEnded = job -> {};
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, Long> acceptedAt = new HashMap<>();
    private final Map<String, Long> finalAt = new HashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private long troublesOverAt = Long.MAX_VALUE;
    private final LongSupplier clock;

    /** @param limits how many CPUs the tasks of a team may take at once; no entry: as many as there are */
    ProtocolInvariants(long cancelMs, Map<String, Double> limits, LongSupplier clock) {
        this.cancelMs = cancelMs;
        this.limits = limits;
        this.clock = clock;
    }

    public List<String> violations() {
        return violations;
    }

    public int startCount() {
        return starts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Tasks that began to run after a user was told that their job is cancelled. */
    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** Sets what is called with each job whose last task has just completed. */
    void onLastTaskEnded(Consumer<String> action) {
        this.lastTaskEnded = action;
    }

    void recordCancellationRequest(String job) {
        recordCancellationRequest.add(job);
    }

    /** Open jobs of which a task runs, in the order of their names. */
    public List<String> runningJobs() {
        return running.keySet().stream()
                .map(ProtocolInvariants::job)
                .distinct()
                .filter(job -> !lastFinal.containsKey(job))
                .sorted()
                .toList();
    }

    /** The final phase of a job as users were told it; empty while it is open. */
    public Optional<String> finalPhase(String job) {
        return Optional.ofNullable(lastFinal.get(job));
    }

    /** Whether users were told that a job has ended in a phase. */
    public boolean hasEndedIn(String phase, String job) {
        return phase.equals(lastFinal.get(job));
    }

    public Set<String> runningTasks() {
        return running.keySet();
    }

    /** All troubles are over: from now on every accepted job stays known, however others fare. */
    public void faultsOver(long now) {
        troublesOverAt = now;
    }

    /** Tasks of accepted services that run nowhere, though nobody has cancelled them. */
    public List<String> missingReplicas() {
        List<String> missing = new ArrayList<>();
        for (String job : accepted) {
            JsonNode spec = specs.get(job);
            for (int i = 0;
                    spec.path("shape").asText().equals("daemon")
                            && !lastFinal.containsKey(job)
                            && i < spec.path("shards").asInt();
                    i++) {
                if (!running.containsKey(job + "/" + i)) {
                    missing.add(job + "/" + i);
                }
            }
        }
        return missing;
    }

    void recordSubmission(JsonNode spec) {
        specs.put(spec.path("id").asText(), spec);
    }

    private void breach(String rule, String what) {
        violations.add(clock.getAsLong() + " ms: " + rule + ": " + what);
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public void started(SimulatedAgent on, String task) {
        starts.merge(task, 1, Integer::sum);
        JsonNode spec = specs.get(job(task));
        if (running.containsKey(task)) {
            breach("ran_twice", task + " on " + on.id + " and " + running.get(task).id);
        }
        Long cancelled = cancelledAt.get(job(task));
        if (cancelled != null) {
            startsAfterCancellation++;
            if (clock.getAsLong() - cancelled > cancelMs) {
                breach("ran_cancelled", task + " starts");
            }
        }
        if (on.spot && !spec.path("loaner").asBoolean()
                || spec.hasNonNull("yard") && !spec.path("yard").asText().equals(on.zone)) {
            breach("wrong_place", task + " on " + on.id);
        }
        long inZone = running.entrySet().stream()
                .filter(entry -> job(entry.getKey()).equals(job(task))
                        && entry.getValue().zone.equals(on.zone))
                .count();
        if (spec.path("scatter").asBoolean()
                && inZone + 1 > (spec.path("shards").asInt() + 1) / 2) {
            breach("wrong_place", task + " is one too many in " + on.zone);
        }
        boolean elsewhere = running.entrySet().stream()
                .anyMatch(entry -> job(entry.getKey()).equals(job(task))
                        && !entry.getValue().zone.equals(on.zone));
        if (spec.path("together").asBoolean() && elsewhere) {
            breach("wrong_place", task + " is not with the others in " + on.zone);
        }
        running.put(task, on);
        String team = spec.path("crew").asText();
        if (limits.containsKey(team) && used(team) > limits.get(team) + 1e-6) {
            breach("quota", team + " uses " + used(team));
        }
    }

    private double used(String team) {
        return running.keySet().stream()
                .map(other -> specs.get(job(other)))
                .filter(other -> other.path("crew").asText().equals(team))
                .mapToDouble(other -> other.path("cpus").asDouble())
                .sum();
    }

    @Override
    public void ended(SimulatedAgent on, String task) {
        if (running.get(task) == on) {
            running.remove(task);
        }
    }

    @Override
    public void completed(String task) {
        Set<Integer> ended = completed.computeIfAbsent(job(task), id -> new HashSet<>());
        if (ended.add(Integer.parseInt(task.substring(task.indexOf('/') + 1)))
                && ended.size() == specs.get(job(task)).path("shards").asInt()) {
            lastTaskEnded.accept(job(task));
        }
    }

    void recordRejection(String id, int status) {
        if (accepted.contains(id) && (status == 400 || status == 422)) {
            breach("forgotten", id + " is refused with " + status);
        }
    }

    /** A job that can't run, or is no job, was answered. */
    void recordResponseToInvalidJob(String what, int status) {
        if (status / 100 == 2 || status == 404) {
            breach("accepted", what + " is answered " + status);
        }
    }

    /** Somebody asked about a job that nobody submitted. */
    void recordResponseForUnknownJob(String id, int status) {
        if (status / 100 == 2) {
            breach("invented", id);
        }
    }

    /** @param asked when the question was asked: an answer that was overtaken on its way is no older one */
    void recordResponse(String id, Reply reply, long asked, long now) {
        if (reply.status() == 404 && accepted.contains(id) && asked > acceptedAt.get(id)) {
            breach("forgotten", id + " is answered 404");
        }
        if (!reply.ok() && reply.status() != 201) {
            return;
        }
        accepted.add(id);
        acceptedAt.putIfAbsent(id, now);
        answeredAt.put(id, now);
        String phase = reply.json().path("phase").asText();
        String before = lastFinal.get(id);
        if (before != null && !before.equals(phase) && asked > finalAt.get(id)) {
            breach("went_back", id + " was " + before + " and is " + phase);
        }
        if (phase.equals("done") || phase.equals("withdrawn")) {
            lastFinal.putIfAbsent(id, phase);
            finalAt.putIfAbsent(id, now);
        }
        if (phase.equals("withdrawn")) {
            cancelledAt.putIfAbsent(id, now);
            if (!recordCancellationRequest.contains(id)) {
                breach("went_back", id + " is cancelled though nobody asked for it");
            }
        }
        if (phase.equals("done")
                && completed.getOrDefault(id, Set.of()).size()
                        < specs.get(id).path("shards").asInt()) {
            breach("not_done", id);
        }
    }

    /** Looks for tasks that are on a machine too long after their job was cancelled. */
    public void checkDeadlines(long now) {
        for (String job : accepted) {
            if (now > troublesOverAt
                    && !cancelledAt.containsKey(job)
                    && now - Math.max(troublesOverAt, answeredAt.get(job)) > ANSWERED_MS) {
                breach("forgotten", job + " gets no answer");
            }
        }
        for (String task : running.keySet()) {
            Long cancelled = cancelledAt.get(job(task));
            if (cancelled != null && now - cancelled > cancelMs) {
                breach("ran_cancelled", task + " is still there");
            }
        }
    }

    /** Looks for jobs that wait though a machine that fits has room; to be called once all troubles are over. */
    public void checkWaitingJobs(Collection<SimulatedAgent> machines, long now) {
        for (String job : accepted) {
            boolean could = !lastFinal.containsKey(job)
                    && specs.get(job).path("shards").asInt()
                            > completed.getOrDefault(job, Set.of()).size()
                                    + runningTasks(job).size()
                    && machines.stream().anyMatch(machine -> fits(job, machine));
            if (!could) {
                waitingSince.remove(job);
            } else if (now - waitingSince.computeIfAbsent(job, id -> now) > WAITING_MS) {
                breach("waiting", job + " waits though there is room");
                waitingSince.put(job, now);
            }
        }
    }

    private List<Map.Entry<String, SimulatedAgent>> runningTasks(String job) {
        return running.entrySet().stream()
                .filter(entry -> job(entry.getKey()).equals(job))
                .toList();
    }

    private boolean fits(String job, SimulatedAgent machine) {
        JsonNode spec = specs.get(job);
        double cpus = spec.path("cpus").asDouble();
        String team = spec.path("crew").asText();
        List<Map.Entry<String, SimulatedAgent>> others = runningTasks(job);
        long inZone = others.stream()
                .filter(entry -> entry.getValue().zone.equals(machine.zone))
                .count();
        return machine.freeCpus() >= cpus
                && (!machine.spot || spec.path("loaner").asBoolean())
                && (!spec.hasNonNull("yard") || spec.path("yard").asText().equals(machine.zone))
                && (!spec.path("together").asBoolean() || inZone == others.size())
                && (!spec.path("scatter").asBoolean()
                        || inZone + 1 <= (spec.path("shards").asInt() + 1) / 2)
                && (!limits.containsKey(team) || used(team) + cpus <= limits.get(team));
    }
}
