package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The specs of all jobs submitted by users; agents derive from them how tasks run. */
final class SubmittedJobs {
    private static final double SECONDS_PER_IMAGE_GB = 0.5;

    private final Map<String, JsonNode> specs = new HashMap<>();

    void add(JsonNode spec) {
        specs.put(spec.path("id").asText(), spec);
    }

    Optional<JsonNode> find(String job) {
        return Optional.ofNullable(specs.get(job));
    }

    List<JsonNode> all() {
        return List.copyOf(specs.values());
    }

    /** How the tasks of a job run; empty when the job was not submitted. */
    Optional<SimulatedAgent.TaskProfile> taskProfile(String job) {
        return find(job)
                .map(spec -> new SimulatedAgent.TaskProfile(
                        spec.path("cpus").asDouble(),
                        spec.path("runtime_guess_s").asDouble(),
                        spec.path("each_longer_s").asDouble(),
                        spec.path("pull_gb").asDouble() * SECONDS_PER_IMAGE_GB,
                        spec.path("shape").asText().equals("daemon"),
                        spec.path("bundle").asText().equals("broken"),
                        runSByTask(spec)));
    }

    private static Map<Integer, Double> runSByTask(JsonNode spec) {
        Map<Integer, Double> runS = new HashMap<>();
        spec.path("run_s_by_task")
                .properties()
                .forEach(task -> runS.put(
                        Integer.parseInt(task.getKey()), task.getValue().asDouble()));
        return runS;
    }
}
