package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.List;

/** Submissions that no controller may accept: they lack a field, have an invalid one, or can never run. */
final class InvalidJobs {
    private InvalidJobs() {}

    /** One of each kind, all with this id. */
    static List<ObjectNode> of(String id) {
        ObjectNode good = validJob(id);
        List<ObjectNode> bad = new ArrayList<>();
        good.fieldNames().forEachRemaining(field -> bad.add(good.deepCopy().without(field)));
        bad.add(good.deepCopy().put("cpus", 99.0));
        bad.add(good.deepCopy().put("crew", "nobody"));
        bad.add(good.deepCopy()
                .put("crew", "red")
                .put("shape", "daemon")
                .put("shards", 30)
                .put("cpus", 4.0));
        bad.add(good.deepCopy().put("shards", "one"));
        bad.add(good.deepCopy().put("yard", "nowhere"));
        return bad;
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
