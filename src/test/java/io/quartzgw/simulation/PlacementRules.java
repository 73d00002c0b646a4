package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Where the tasks of all jobs run, and whether their placement is one that their specs and the quotas allow. */
final class PlacementRules {
    private static final double CPU_TOLERANCE = 1e-6;

    private final Map<String, Double> cpuLimits;
    private final Map<String, JsonNode> specs = new HashMap<>();
    private final Map<String, SimulatedAgent> running = new HashMap<>();

    /** @param cpuLimits by team, how many CPUs its tasks may use at once; teams without an entry have no limit */
    PlacementRules(Map<String, Double> cpuLimits) {
        this.cpuLimits = cpuLimits;
    }

    /** The id of the job that a task belongs to. */
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

    /** The tasks that run at present. */
    Set<String> runningTasks() {
        return running.keySet();
    }

    /** The agent on which a task runs. */
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

    /** The agents on which tasks of a job run, one entry for each task. */
    List<SimulatedAgent> agentsOf(String job) {
        return running.entrySet().stream()
                .filter(entry -> jobOf(entry.getKey()).equals(job))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Whether a job may use a machine of this kind in this zone. */
    boolean isMachineAllowed(String job, SimulatedAgent agent) {
        JsonNode spec = spec(job);
        return (!agent.spot || spec.path("loaner").asBoolean())
                && (!spec.hasNonNull("yard") || spec.path("yard").asText().equals(agent.zone));
    }

    /** Whether one more task of a job in an agent's zone leaves the job spread over zones, where it has to be. */
    boolean keepsZoneSpread(String job, SimulatedAgent agent) {
        return !spec(job).path("scatter").asBoolean() || tasksInZone(job, agent) + 1 <= (taskCount(job) + 1) / 2;
    }

    /** Whether one more task of a job in an agent's zone leaves the job in one zone, where it has to be. */
    boolean keepsSingleZone(String job, SimulatedAgent agent) {
        return !spec(job).path("together").asBoolean()
                || tasksInZone(job, agent) == agentsOf(job).size();
    }

    private long tasksInZone(String job, SimulatedAgent agent) {
        return agentsOf(job).stream()
                .filter(other -> other.zone.equals(agent.zone))
                .count();
    }

    /** Whether the running tasks of a job's team use more CPUs than its quota. */
    boolean isQuotaExceeded(String job) {
        String team = team(job);
        return cpuLimits.containsKey(team) && usedCpus(team) > cpuLimits.get(team) + CPU_TOLERANCE;
    }

    String team(String job) {
        return spec(job).path("crew").asText();
    }

    /** The CPUs that the running tasks of a team use. */
    double usedCpus(String team) {
        return running.keySet().stream()
                .map(task -> spec(jobOf(task)))
                .filter(spec -> spec.path("crew").asText().equals(team))
                .mapToDouble(spec -> spec.path("cpus").asDouble())
                .sum();
    }

    /** Whether one more task of a job could start on a machine now. */
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
