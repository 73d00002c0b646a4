package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.List;

/** Submissions that controllers must reject: a field is missing or invalid, or the job could never run. */
final class InvalidJobs {
    private InvalidJobs() {}

    /** One submission of each kind, all with the same ID. */
    static List<ObjectNode> of(String id) {
        ObjectNode valid = validJob(id);
        List<ObjectNode> invalid = new ArrayList<>();
        valid.fieldNames()
                .forEachRemaining(field -> invalid.add(valid.deepCopy().without(field)));
        invalid.add(valid.deepCopy().put("cpus", 99.0));
        invalid.add(valid.deepCopy().put("crew", "nobody"));
        invalid.add(valid.deepCopy()
                .put("crew", "red")
                .put("shape", "daemon")
                .put("shards", 30)
                .put("cpus", 4.0));
        invalid.add(valid.deepCopy().put("shards", "one"));
        invalid.add(valid.deepCopy().put("yard", "nowhere"));
        return invalid;
    }

    private static ObjectNode validJob(String id) {
        return Json.object()
                .put("id", id)
                .put("workload", "odd")
                .put("crew", "blue")
                .put("shape", "array")
                .put("urgency", "standard")
                .put("shards", 1)
                .put("cpus", 1.0)
                .put("gpus", 0.0)
                .put("ram_gb", 1.0)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("together", false)
                .put("scatter", false)
                .put("loaner", false)
                .put("runtime_guess_s", 1.0)
                .put("snapshot_every_s", 0.0)
                .put("snapshot_cost_s", 0.0);
    }
}
