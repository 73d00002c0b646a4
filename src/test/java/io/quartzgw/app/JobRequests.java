package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/** Job submissions as users send them, with defaults for the fields that a test does not set. */
final class JobRequests {
    private static final String ARRAY = "array";
    private static final String SERVICE = "daemon";
    /** Jobs use different images, depending on their number of tasks. */
    private static final int IMAGE_COUNT = 3;

    private JobRequests() {}

    /** Returns the id of the job with a number. */
    static String id(int number) {
        return String.format("j-%06d", number);
    }

    /** An array job; CPUs and run time are per task. */
    static ObjectNode array(String id, String team, int tasks, double cpus, double runtimeS) {
        return job(id, team, ARRAY, tasks, cpus).put("urgency", "standard").put("runtime_guess_s", runtimeS);
    }

    /** A service whose replicas run until it is cancelled; CPUs are per replica. */
    static ObjectNode service(String id, String team, int replicas, double cpus) {
        return job(id, team, SERVICE, replicas, cpus).put("urgency", "critical").put("runtime_guess_s", 0.0);
    }

    private static ObjectNode job(String id, String team, String shape, int tasks, double cpus) {
        return Json.object()
                .put("id", id)
                .put("workload", shape)
                .put("crew", team)
                .put("shape", shape)
                .put("urgency", "")
                .put("shards", tasks)
                .put("cpus", cpus)
                .put("gpus", 0.0)
                .put("ram_gb", 1.0)
                .put("bundle", "img-" + tasks % IMAGE_COUNT)
                .put("pull_gb", 1.0)
                .put("together", false)
                .put("scatter", false)
                .put("loaner", false)
                .put("runtime_guess_s", 0.0)
                .put("snapshot_every_s", 0.0)
                .put("snapshot_cost_s", 0.0);
    }
}
