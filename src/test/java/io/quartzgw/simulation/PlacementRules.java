package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Tracks where tasks run, and checks their placement against the job specs and the teams' quotas. */
final class PlacementRules {
    private static final double CPU_TOLERANCE = 1e-6;

    private final Map<String, Double> cpuLimits;
    private final Map<String, JsonNode> specs = new HashMap<>();
    private final Map<String, SimulatedAgent> running = new HashMap<>();

    /** @param cpuLimits CPU quotas by team; teams without an entry have no quota */
    PlacementRules(Map<String, Double> cpuLimits) {
        this.cpuLimits = cpuLimits;
    }

    /** The ID of a task's job; task IDs have the form {@code job/index}. */
    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    void addJob(JsonNode spec) {
        specs.put(spec.path("id").asText(), spec);
    }

    JsonNode spec(String job) {
        return specs.get(job);
    }

    int taskCount(String job) {
        return spec(job).path("shards").asInt();
    }

    boolean isService(String job) {
        return spec(job).path("shape").asText().equals("daemon");
    }

    /** The tasks that are running now. */
    Set<String> runningTasks() {
        return running.keySet();
    }

    /** The agent that runs a task; empty if the task is not running. */
    Optional<SimulatedAgent> agentOf(String task) {
        return Optional.ofNullable(running.get(task));
    }

    void add(String task, SimulatedAgent agent) {
        running.put(task, agent);
    }

    void remove(String task, SimulatedAgent agent) {
        if (running.get(task) == agent) {
            running.remove(task);
        }
    }

    /** The agents that run tasks of a job, one entry per running task. */
    List<SimulatedAgent> agentsOf(String job) {
        return running.entrySet().stream()
                .filter(entry -> jobOf(entry.getKey()).equals(job))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Whether a job's spec allows an agent's zone and, for a spot machine, spot machines. */
    boolean isMachineAllowed(String job, SimulatedAgent agent) {
        JsonNode spec = spec(job);
        return (!agent.spot || spec.path("loaner").asBoolean())
                && (!spec.hasNonNull("yard") || spec.path("yard").asText().equals(agent.zone));
    }

    /**
     * Whether a job that must be spread over zones stays so with one more task in an agent's zone: at most half of its
     * tasks, rounded up, may run there.
     */
    boolean keepsZoneSpread(String job, SimulatedAgent agent) {
        return !spec(job).path("scatter").asBoolean() || tasksInZone(job, agent) + 1 <= (taskCount(job) + 1) / 2;
    }

    /** Whether a job that must run in a single zone stays so with one more task in an agent's zone. */
    boolean keepsSingleZone(String job, SimulatedAgent agent) {
        return !spec(job).path("together").asBoolean()
                || tasksInZone(job, agent) == agentsOf(job).size();
    }

    private long tasksInZone(String job, SimulatedAgent agent) {
        return agentsOf(job).stream()
                .filter(other -> other.zone.equals(agent.zone))
                .count();
    }

    /** Whether the running tasks of a job's team use more CPUs than the team's quota. */
    boolean isQuotaExceeded(String job) {
        String team = team(job);
        return cpuLimits.containsKey(team) && usedCpus(team) > cpuLimits.get(team) + CPU_TOLERANCE;
    }

    String team(String job) {
        return spec(job).path("crew").asText();
    }

    /** The number of CPUs that the running tasks of a team use. */
    double usedCpus(String team) {
        return running.keySet().stream()
                .map(task -> spec(jobOf(task)))
                .filter(spec -> spec.path("crew").asText().equals(team))
                .mapToDouble(spec -> spec.path("cpus").asDouble())
                .sum();
    }

    /** Whether one more task of a job could start on an agent's machine now. */
    boolean canStartTask(String job, SimulatedAgent agent) {
        double cpus = spec(job).path("cpus").asDouble();
        String team = team(job);
        return agent.freeCpus() >= cpus
                && isMachineAllowed(job, agent)
                && keepsSingleZone(job, agent)
                && keepsZoneSpread(job, agent)
                && (!cpuLimits.containsKey(team) || usedCpus(team) + cpus <= cpuLimits.get(team));
    }
}
