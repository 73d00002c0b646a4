package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** A worker as its protocol page describes it: sessions, tokens, leases, orders; time is handed in. */
public final class SimulatedAgent {
    private static final double CPUS_SMALL = 8;
    private static final double CPUS_LARGE = 16;

    /**
     * What a worker learns of a job; null where no such job was submitted.
     *
     * @param longerS how much longer each task runs than the one before it
     */
    public record Description(
            double cpus, double runS, double longerS, double imageS, boolean service, boolean faulty) {}

    /** Hears of the starts and ends of tasks on a machine. */
    public interface Watcher {
        /** A task has begun to run. */
        default void started(SimulatedAgent on, String task) {}

        /** A task runs no more, for whatever reason. */
        default void ended(SimulatedAgent on, String task) {}

        /** A task has come to its regular end. */
        default void completed(String task) {}
    }

    private static final class Task {
        private final String name;
        private final long attempt;
        private final Description job;
        private long runsAt;
        private long doneAt;
        private boolean running;
        private String cause;

        Task(String name, long attempt, Description job) {
            this.name = name;
            this.attempt = attempt;
            this.job = job;
        }
    }

    public final String id;
    private final String address;
    public final String type;
    public final String zone;
    public final boolean spot;
    private final long leaseMs;
    private final Function<String, Description> jobs;
    private final Watcher watcher;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long epoch = 1;
    private long counter;
    private long token;
    private long renewedAt;
    private boolean changed;
    private long reclaimAt = Long.MAX_VALUE;

    /** Makes the worker of a machine, in its first session. */
    public SimulatedAgent(
            String id,
            String address,
            String type,
            String zone,
            boolean spot,
            long leaseMs,
            long now,
            Function<String, Description> jobs,
            Watcher watcher) {
        this.id = id;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.leaseMs = leaseMs;
        this.renewedAt = now;
        this.jobs = jobs;
        this.watcher = watcher;
    }

    /** The worker of this machine after it was started again: it knows no task and no token. */
    SimulatedAgent replacement(long now, boolean counting) {
        SimulatedAgent next = new SimulatedAgent(id, address, type, zone, spot, leaseMs, now, jobs, watcher);
        next.epoch = counting ? epoch + 1 : 1;
        return next;
    }

    public long epoch() {
        return epoch;
    }

    public long token() {
        return token;
    }

    /** The cloud has told when it takes the machine away. */
    void reclaimAt(long moment) {
        reclaimAt = moment;
        changed = true;
    }

    /** Whether something has changed since the last report. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** The room that is left beside all that was started here. */
    double freeCpus() {
        return size()
                - tasks.values().stream()
                        .filter(task -> task.cause == null)
                        .mapToDouble(task -> task.job.cpus())
                        .sum();
    }

    private double size() {
        return type.equals("large") ? CPUS_LARGE : CPUS_SMALL;
    }

    /** The tasks that run at present. */
    public List<String> runningTasks() {
        return tasks.values().stream()
                .filter(task -> task.running)
                .map(task -> task.name)
                .toList();
    }

    /** The machine is gone, with all that is on it. */
    public void stop() {
        forgetAll();
    }

    /** Lets time pass up to a moment. */
    public void advanceTo(long now) {
        expireLease(now);
        for (Task task : List.copyOf(tasks.values())) {
            if (task.cause == null && !task.running && now >= task.runsAt) {
                task.running = true;
                changed = true;
                watcher.started(this, task.name);
            }
            if (task.cause == null && task.running && !task.job.service() && now >= task.doneAt) {
                if (!task.job.faulty()) {
                    watcher.completed(task.name);
                }
                end(task, task.job.faulty() ? "error" : "done");
            }
        }
    }

    /** Ends the session when its lease has run out; a machine that hangs past it runs nothing any more. */
    public void expireLease(long now) {
        if (now - renewedAt > leaseMs) {
            forgetAll();
            epoch++;
            renewedAt = now;
            changed = true;
        }
    }

    private void forgetAll() {
        tasks.values().stream().filter(task -> task.running).forEach(task -> watcher.ended(this, task.name));
        tasks.clear();
    }

    private void end(Task task, String cause) {
        if (task.running) {
            task.running = false;
            watcher.ended(this, task.name);
        }
        task.cause = cause;
        changed = true;
    }

    /** Makes the next report, as sent to controllers. */
    public ObjectNode heartbeat(long now) {
        ObjectNode report = Json.object()
                .put("host", id)
                .put("address", address)
                .put("host_type", type)
                .put("yard", zone)
                .put("loaner", spot)
                .put("tenure", epoch)
                .put("counter", ++counter)
                .put("baton", token);
        if (reclaimAt == Long.MAX_VALUE) {
            report.putNull("reclaim_in_s");
        } else {
            report.put("reclaim_in_s", Math.max(0, reclaimAt - now) / 1000.0);
        }
        ArrayNode list = report.putArray("shards");
        for (Task task : tasks.values()) {
            ObjectNode node = list.addObject().put("shard", task.name).put("try_no", task.attempt);
            node.put("phase", task.cause != null ? "ended" : task.running ? "running" : "fetching");
            if (task.cause != null) {
                node.put("exit_cause", task.cause);
            }
        }
        return report;
    }

    /** Takes the response to a report that was sent in a session at a moment. */
    public void receiveHeartbeatResponse(Reply reply, long sentIn, long sentAt, long now) {
        JsonNode body = reply.json();
        if (!reply.ok() || sentIn != epoch || body.path("baton").asLong() < token || !body.has("baton")) {
            return;
        }
        token = body.path("baton").asLong();
        renewedAt = Math.max(renewedAt, sentAt);
        execute(body.path("orders"), now);
    }

    /** Serves a direct order. */
    public Reply receiveCommands(JsonNode body, long now) {
        long told = body.path("baton").asLong();
        if (!body.has("baton") || !body.has("tenure")) {
            return SimulatedStore.reply(400, Json.object());
        }
        boolean stale = told < token;
        if (told > token) {
            token = told;
            changed = true;
        }
        if (stale || body.path("tenure").asLong() != epoch) {
            return SimulatedStore.reply(409, heartbeat(now));
        }
        execute(body.path("orders"), now);
        return SimulatedStore.reply(200, heartbeat(now));
    }

    private void execute(JsonNode orders, long now) {
        for (JsonNode order : orders) {
            String name = order.path("shard").asText();
            long attempt = order.path("try_no").asLong();
            Task known = tasks.get(name + "#" + attempt);
            switch (order.path("verb").asText()) {
                case "run" -> {
                    if (known == null) {
                        run(name, attempt, now);
                    }
                }
                case "kill" -> {
                    if (known != null && known.cause == null) {
                        end(known, "stopped");
                    }
                }
                default -> {
                    if (known != null && known.cause != null) {
                        tasks.remove(name + "#" + attempt);
                    }
                }
            }
        }
    }

    private void run(String name, long attempt, long now) {
        Description job = jobs.apply(name.substring(0, name.indexOf('/')));
        Task task = new Task(name, attempt, job);
        boolean busy = tasks.values().stream().anyMatch(other -> other.name.equals(name));
        if (job == null) {
            task.cause = "unknown";
        } else if (busy) {
            task.cause = "busy";
        } else if (job.cpus() > freeCpus()) {
            task.cause = "no_room";
        } else {
            task.runsAt = now + (long) (job.imageS() * 1000);
            int index = Integer.parseInt(name.substring(name.indexOf('/') + 1));
            task.doneAt = task.runsAt + (long) ((job.runS() + index * job.longerS()) * 1000);
        }
        tasks.put(name + "#" + attempt, task);
        changed = true;
    }
}
