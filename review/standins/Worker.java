import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A worker of the protocol page: reports to the controllers and runs tasks. */
final class Worker {
    private static final double ANSWER_S = 4;
    private static final double LEAST_REPORT_S = 0.5;
    private static final int MOST_BODY_BYTES = 64 * 1024;

    final String id;
    final String address;
    final Cloud.Type type;
    final String zone;
    private final Workers workers;
    /** All tasks by task and attempt, exited ones until they are removed. */
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    private final Set<String> images = new HashSet<>();
    private final Map<String, Double> fetches = new HashMap<>();
    private boolean up;
    private boolean ended;
    private long tenure = 1;
    private long counter;
    private long baton;
    private double renewedAt;
    private double tokenChangeAt = -1000;
    private boolean changed = true;

    private static final class Task {
        String name;
        int index;
        long attempt;
        Users.Job job;
        String phase;
        String cause;
        double startedAt;
    }

    Worker(String id, Cloud.Type type, String zone, Workers workers) throws Exception {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.workers = workers;
        this.address = Lab.serve(this::handle);
    }

    /** The machine is up from now on, or after its time to boot. */
    void startAfter(double bootS) {
        Lab.background(() -> {
            try {
                Lab.sleep(bootS);
                synchronized (this) {
                    up = true;
                    renewedAt = Lab.now();
                }
                Lab.note("worker %s: up", id);
                Lab.background(this::runTasks);
                report();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** The machine is gone, and everything on it. */
    synchronized void end() {
        ended = true;
        tasks.clear();
    }

    /** The CPUs that no task takes. */
    synchronized double freeCpus() {
        return !up || ended
                ? 0
                : type.cpus() - live().stream().mapToDouble(task -> task.job.cpus()).sum();
    }

    /** The memory that no task takes. */
    synchronized double freeRamGb() {
        return !up || ended
                ? 0
                : type.ramGb() - live().stream().mapToDouble(task -> task.job.ramGb()).sum();
    }

    /** The tasks on the machine, as "task phase". */
    synchronized List<String> listTasks() {
        return tasks.values().stream()
                .map(task -> task.name + " " + (task.cause == null ? task.phase : task.cause))
                .toList();
    }

    private List<Task> live() {
        return tasks.values().stream().filter(task -> task.cause == null).toList();
    }

    // ---- tasks

    private void runTasks() {
        try {
            while (true) {
                Lab.sleep(0.02);
                synchronized (this) {
                    if (ended) {
                        return;
                    }
                    expireLease();
                    List.copyOf(tasks.values()).forEach(this::advance);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void expireLease() {
        if (Lab.now() - renewedAt > workers.leaseS) {
            Lab.note("worker %s: lease over, tasks dropped: %d", id, live().size());
            tasks.clear();
            tenure++;
            renewedAt = Lab.now();
            changed = true;
        }
    }

    private void advance(Task task) {
        if (task.cause != null) {
            return;
        }
        if (task.phase.equals("fetching")) {
            String image = task.job.bundle();
            if (!images.contains(image)) {
                double fetchedAt = fetches.computeIfAbsent(
                        image, key -> Lab.now() + task.job.pullGb() / type.pullGbPerS());
                if (Lab.now() < fetchedAt) {
                    return;
                }
                images.add(image);
            }
            task.phase = "running";
            task.startedAt = Lab.now();
            changed = true;
            workers.listener.started(this, task.name);
        }
        // A task that has a result ends at once.
        boolean completed = workers.results.contains(task.name)
                || (!task.job.daemon() && task.job.runTime().ends(task.index, Lab.now() - task.startedAt));
        if (completed && task.job.mistaken()) {
            task.cause = "error";
            changed = true;
            workers.listener.failed(this, task.name);
        } else if (completed) {
            workers.results.add(task.name);
            task.cause = "done";
            changed = true;
            workers.listener.done(this, task.name);
        }
    }

    private void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String name = order.path("shard").asText();
            long attempt = order.path("try_no").asLong();
            String key = name + "#" + attempt;
            Task task = tasks.get(key);
            switch (order.path("verb").asText()) {
                case "run" -> {
                    if (task == null) {
                        tasks.put(key, start(name, attempt));
                        changed = true;
                    }
                }
                case "kill" -> {
                    if (task != null && task.cause == null) {
                        task.cause = "stopped";
                        changed = true;
                        Lab.note("worker %s: killed %s", id, name);
                    }
                }
                case "reap" -> {
                    if (task != null && task.cause != null) {
                        tasks.remove(key);
                        changed = true;
                        workers.listener.removed(this, name);
                    }
                }
                default -> {}
            }
        }
    }

    private Task start(String name, long attempt) {
        Task task = new Task();
        task.name = name;
        task.attempt = attempt;
        task.index = Integer.parseInt(name.substring(name.indexOf('/') + 1));
        task.phase = "fetching";
        task.job = workers.users.job(name.substring(0, name.indexOf('/')));
        if (task.job == null || task.index >= task.job.shards()) {
            task.cause = "unknown";
        } else if (tasks.values().stream().anyMatch(other -> other.name.equals(name))) {
            task.cause = "busy";
        } else if (task.job.cpus() > freeCpus() + 1e-6 || task.job.ramGb() > freeRamGb() + 1e-6) {
            task.cause = "no_room";
        }
        return task;
    }

    // ---- messages

    private ObjectNode message() {
        ObjectNode body = Lab.object()
                .put("host", id)
                .put("address", address)
                .put("host_type", type.name())
                .put("yard", zone)
                .put("loaner", false)
                .put("tenure", tenure)
                .put("counter", ++counter)
                .put("baton", baton);
        ArrayNode list = body.putArray("shards");
        for (Task task : tasks.values()) {
            ObjectNode node = list.addObject().put("shard", task.name).put("try_no", task.attempt);
            node.put("phase", task.cause == null ? task.phase : "ended");
            if (task.cause != null) {
                node.put("exit_cause", task.cause);
            }
        }
        return body;
    }

    private void seeToken(long token) {
        if (token > baton) {
            baton = token;
            // A higher token counts as a change at most once per half of the lease.
            if (Lab.now() - tokenChangeAt >= workers.leaseS / 2) {
                tokenChangeAt = Lab.now();
                changed = true;
            }
        }
    }

    private Lab.Reply handle(Lab.Request request) throws Exception {
        while (true) {
            synchronized (this) {
                if (up && !ended) {
                    break;
                }
            }
            // A machine that is not up, or gone, is silent.
            Lab.sleep(1);
        }
        synchronized (this) {
            expireLease();
            if (request.path().equals("/show")) {
                return Lab.reply(200, message());
            }
            if (request.body().length > MOST_BODY_BYTES) {
                Lab.note("worker %s: orders of %d bytes refused", id, request.body().length);
                return Lab.reply(413, Lab.object().put("error", "a request body may be at most 64 KiB"));
            }
            JsonNode body = request.json();
            if (!body.has("baton") || !body.has("tenure")) {
                return Lab.reply(400, Lab.object());
            }
            long token = body.path("baton").asLong();
            boolean stale = token < baton;
            seeToken(token);
            if (stale || body.path("tenure").asLong() != tenure) {
                return Lab.reply(409, message());
            }
            execute(body.path("orders"));
            return Lab.reply(200, message());
        }
    }

    private void report() throws InterruptedException {
        int target = ThreadLocalRandom.current().nextInt(workers.controllers.count());
        double lastSentAt = -10;
        double pauseS = 0;
        while (true) {
            double dueAt = lastSentAt + workers.reportS * ThreadLocalRandom.current().nextDouble(0.75, 1.25);
            while (pauseS <= 0 && Lab.now() < dueAt && !(hasChanged() && Lab.now() >= lastSentAt + LEAST_REPORT_S)) {
                Lab.sleep(0.02);
            }
            Lab.sleep(pauseS);
            pauseS = 0;
            ObjectNode body;
            long sentTenure;
            synchronized (this) {
                if (ended) {
                    return;
                }
                expireLease();
                changed = false;
                sentTenure = tenure;
                body = message();
            }
            lastSentAt = Lab.now();
            Lab.Reply reply = Lab.send("POST", workers.controllers.clientAddress(target), "/hello", body, ANSWER_S);
            if (reply.status() == 200) {
                workers.listener.answered(target);
                answered(reply.json(), sentTenure, lastSentAt);
                continue;
            }
            int home = reply.status() == 421
                    ? workers.controllers.indexOf(reply.json().path("home_controller").asText())
                    : -1;
            if (home >= 0 && home != target) {
                target = home;
                pauseS = 0.05;
            } else {
                target = (target + 1) % workers.controllers.count();
                pauseS = 1;
            }
        }
    }

    private synchronized boolean hasChanged() {
        return changed;
    }

    private synchronized void answered(JsonNode answer, long sentTenure, double sentAt) {
        if (ended || sentTenure != tenure || !answer.has("baton") || answer.path("baton").asLong() < baton) {
            return;
        }
        seeToken(answer.path("baton").asLong());
        renewedAt = Math.max(renewedAt, sentAt);
        execute(answer.path("orders"));
    }
}
