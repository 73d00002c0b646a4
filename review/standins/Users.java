import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Users: submit jobs and ask about them, at any controller that answers. */
final class Users {
    /**
     * A job; its workers know it from the moment of the first attempt to submit it.
     *
     * @param mistaken whether it was submitted with a mistake, so that its tasks fail on every machine
     */
    record Job(
            String id,
            boolean daemon,
            int shards,
            double cpus,
            double ramGb,
            String bundle,
            double pullGb,
            Workers.RunTime runTime,
            boolean mistaken) {

        Job(
                String id,
                boolean daemon,
                int shards,
                double cpus,
                double ramGb,
                String bundle,
                double pullGb,
                Workers.RunTime runTime) {
            this(id, daemon, shards, cpus, ramGb, bundle, pullGb, runTime, false);
        }
    }

    private final Controllers controllers;
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();

    Users(Controllers controllers) {
        this.controllers = controllers;
    }

    Job job(String id) {
        return jobs.get(id);
    }

    /** The body of a submission; a field that may be null is added by the caller. */
    static ObjectNode submission(Job job, String workload, String crew, String urgency, double guessS) {
        return Lab.object()
                .put("id", job.id())
                .put("workload", workload)
                .put("crew", crew)
                .put("shape", job.daemon() ? "daemon" : "array")
                .put("urgency", urgency)
                .put("shards", job.shards())
                .put("cpus", job.cpus())
                .put("gpus", 0.0)
                .put("ram_gb", job.ramGb())
                .put("bundle", job.bundle())
                .put("pull_gb", job.pullGb())
                .put("together", false)
                .put("scatter", false)
                .put("loaner", false)
                .put("runtime_guess_s", guessS)
                .put("snapshot_every_s", 0.0)
                .put("snapshot_cost_s", 0.0);
    }

    /** Submits a job, again after a second until it is accepted, for 60 s; returns whether it was accepted. */
    boolean submit(Job job, ObjectNode body) throws InterruptedException {
        jobs.put(job.id(), job);
        double until = Lab.now() + 60;
        // The load balancer spreads the connections of users.
        int first = Math.floorMod(job.id().hashCode(), controllers.count());
        for (int node = first; Lab.now() < until; node++) {
            int target = node % controllers.count();
            Lab.Reply reply = Lab.send("POST", controllers.clientAddress(target), "/submissions", body, 5);
            Lab.note("user: submit %s to %s: %d %s", job.id(), Controllers.name(target), reply.status(), reply.text());
            if (reply.status() == 200 || reply.status() == 201) {
                return true;
            }
            // The load balancer moves on at once from a node that refuses the connection; a user waits.
            Lab.sleep(reply.status() == 0 ? 0.1 : Math.max(1, reply.retryAfterS()));
        }
        return false;
    }

    /** Cancels a job, again after a second until it is confirmed, for 30 s; returns whether it was. */
    boolean cancel(String id) throws InterruptedException {
        double until = Lab.now() + 30;
        for (int node = 0; Lab.now() < until; node++) {
            int target = node % controllers.count();
            Lab.Reply reply =
                    Lab.send("POST", controllers.clientAddress(target), "/submissions/" + id + "/abort", null, 5);
            Lab.note("user: cancel %s at %s: %d %s", id, Controllers.name(target), reply.status(), reply.text());
            if (reply.status() == 200) {
                return true;
            }
            Lab.sleep(Math.max(1, reply.retryAfterS()));
        }
        return false;
    }

    /** Asks about a job; returns the first answer with status 200 or 404, or null if no controller gave one. */
    Lab.Reply ask(String id) {
        for (int node = 0; node < controllers.count(); node++) {
            Lab.Reply reply = Lab.send("GET", controllers.clientAddress(node), "/submissions/" + id, null, 2);
            if (reply.status() == 200 || reply.status() == 404) {
                return reply;
            }
        }
        return null;
    }
}
