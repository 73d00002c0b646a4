package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The agent of a machine as the protocol describes it: it runs tasks by command, sends heartbeats, and drops all tasks
 * and begins a new epoch when its lease expires. Commands are fenced by the token and the epoch that they carry. Time
 * is handed in by callers.
 */
public final class SimulatedAgent {
    private static final double CPUS_SMALL = 8;
    private static final double CPUS_LARGE = 16;

    /**
     * How the tasks of a job run.
     *
     * @param cpus what each task takes
     * @param runS how long the first task runs
     * @param runIncrementS how much longer each task runs than the one before it
     * @param imagePullS how long the image takes to load
     * @param service whether tasks run until they are stopped
     * @param faulty whether tasks end with an error
     */
    public record Description(
            double cpus, double runS, double runIncrementS, double imagePullS, boolean service, boolean faulty) {}

    /** Hears of the starts and ends of tasks on a machine. */
    public interface Watcher {
        /** A command to start a task is executed, whether or not the task then runs, and for however short a time. */
        default void startExecuted(SimulatedAgent on, String task) {}

        /** A task has begun to run. */
        default void started(SimulatedAgent on, String task) {}

        /** A task runs no more, for whatever reason. */
        default void ended(SimulatedAgent on, String task) {}

        /** A task has come to its regular end. */
        default void completed(String task) {}
    }

    public final String id;
    private final String address;
    public final String type;
    public final String zone;
    public final boolean spot;
    private final long leaseMs;
    private final Function<String, Description> jobs;
    private final Watcher watcher;
    private final Map<String, AgentTask> tasks = new LinkedHashMap<>();
    private long epoch = 1;
    private long heartbeatCount;
    private long token;
    private long leaseRenewedAt;
    private boolean changed;
    private long reclaimAt = Long.MAX_VALUE;

    /**
     * Makes the agent of a machine, in its first epoch.
     *
     * @param jobs how the tasks of a job run, by the job's id; returns null for a job that nobody submitted
     */
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
        this.leaseRenewedAt = now;
        this.jobs = jobs;
        this.watcher = watcher;
    }

    /**
     * The agent of this machine after it was started again: it knows no task and no token.
     *
     * @param epochKept whether it counts its epochs on, or begins with the first again
     */
    SimulatedAgent replacement(long now, boolean epochKept) {
        SimulatedAgent next = new SimulatedAgent(id, address, type, zone, spot, leaseMs, now, jobs, watcher);
        next.epoch = epochKept ? epoch + 1 : 1;
        return next;
    }

    /** The epoch: it grows whenever the lease has expired. */
    public long epoch() {
        return epoch;
    }

    /** The highest fencing token that the agent has seen. */
    public long token() {
        return token;
    }

    /** The cloud has announced when it reclaims the machine. */
    void reclaimAt(long time) {
        reclaimAt = time;
        changed = true;
    }

    /** Returns whether something has changed since the last call; a heartbeat is then due. */
    public boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** The CPUs that no task has taken which was started here and has not ended. */
    double freeCpus() {
        return cpus()
                - tasks.values().stream()
                        .filter(task -> task.exitCause.isEmpty())
                        .mapToDouble(task -> task.job.cpus())
                        .sum();
    }

    private double cpus() {
        return type.equals("large") ? CPUS_LARGE : CPUS_SMALL;
    }

    /** The tasks that run at present. */
    public List<String> runningTasks() {
        return tasks.values().stream()
                .filter(task -> task.running)
                .map(task -> task.name)
                .toList();
    }

    /** Stops the machine, with all tasks on it. */
    public void stop() {
        dropTasks();
    }

    /** Starts and ends the tasks that are due, and lets the lease expire. */
    public void advanceTo(long now) {
        expireLease(now);
        for (AgentTask task : List.copyOf(tasks.values())) {
            if (task.exitCause.isEmpty() && !task.running && now >= task.startsAt) {
                startTask(task);
            }
            if (task.exitCause.isEmpty() && task.running && !task.job.service() && now >= task.endsAt) {
                if (!task.job.faulty()) {
                    watcher.completed(task.name);
                }
                endTask(task, task.job.faulty() ? "error" : "done");
            }
        }
    }

    /** Ends the epoch when its lease has expired; also a machine that hangs then runs nothing any more. */
    public void expireLease(long now) {
        if (now - leaseRenewedAt > leaseMs) {
            dropTasks();
            epoch++;
            leaseRenewedAt = now;
            changed = true;
        }
    }

    private void startTask(AgentTask task) {
        task.running = true;
        changed = true;
        watcher.started(this, task.name);
    }

    private void dropTasks() {
        tasks.values().stream().filter(task -> task.running).forEach(task -> watcher.ended(this, task.name));
        tasks.clear();
    }

    private void endTask(AgentTask task, String cause) {
        if (task.running) {
            task.running = false;
            watcher.ended(this, task.name);
        }
        task.exitCause = Optional.of(cause);
        changed = true;
    }

    /** Makes the body of the next heartbeat. */
    public ObjectNode heartbeat(long now) {
        ObjectNode heartbeat = Json.object()
                .put("host", id)
                .put("address", address)
                .put("host_type", type)
                .put("yard", zone)
                .put("loaner", spot)
                .put("tenure", epoch)
                .put("counter", ++heartbeatCount)
                .put("baton", token);
        if (reclaimAt == Long.MAX_VALUE) {
            heartbeat.putNull("reclaim_in_s");
        } else {
            heartbeat.put("reclaim_in_s", Math.max(0, reclaimAt - now) / 1000.0);
        }
        ArrayNode list = heartbeat.putArray("shards");
        for (AgentTask task : tasks.values()) {
            ObjectNode node = list.addObject().put("shard", task.name).put("try_no", task.attempt);
            node.put("phase", task.exitCause.isPresent() ? "ended" : task.running ? "running" : "fetching");
            if (task.exitCause.isPresent()) {
                node.put("exit_cause", task.exitCause.get());
            }
        }
        return heartbeat;
    }

    /** Handles the response to a heartbeat that was sent in an epoch at a time: it renews the lease. */
    public void receiveHeartbeatResponse(Reply reply, long sentInEpoch, long sentAt, long now) {
        JsonNode body = reply.json();
        if (!reply.ok() || sentInEpoch != epoch || body.path("baton").asLong() < token || !body.has("baton")) {
            return;
        }
        token = body.path("baton").asLong();
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
        execute(body.path("orders"), now);
    }

    /** Handles a request with direct commands. */
    public Reply receiveCommands(JsonNode body, long now) {
        long received = body.path("baton").asLong();
        if (!body.has("baton") || !body.has("tenure")) {
            return SimulatedStore.reply(400, Json.object());
        }
        boolean stale = received < token;
        if (received > token) {
            token = received;
            changed = true;
        }
        if (stale || body.path("tenure").asLong() != epoch) {
            return SimulatedStore.reply(409, heartbeat(now));
        }
        execute(body.path("orders"), now);
        return SimulatedStore.reply(200, heartbeat(now));
    }

    private void execute(JsonNode commands, long now) {
        for (JsonNode command : commands) {
            String name = command.path("shard").asText();
            long attempt = command.path("try_no").asLong();
            AgentTask known = tasks.get(name + "#" + attempt);
            switch (command.path("verb").asText()) {
                case "run" -> {
                    if (known == null) {
                        executeStart(name, attempt, now);
                    }
                }
                case "kill" -> {
                    if (known != null && known.exitCause.isEmpty()) {
                        endTask(known, "stopped");
                    }
                }
                default -> {
                    if (known != null && known.exitCause.isPresent()) {
                        tasks.remove(name + "#" + attempt);
                    }
                }
            }
        }
    }

    private void executeStart(String name, long attempt, long now) {
        watcher.startExecuted(this, name);
        Description job = jobs.apply(name.substring(0, name.indexOf('/')));
        AgentTask task = new AgentTask(name, attempt, job);
        boolean busy = tasks.values().stream().anyMatch(other -> other.name.equals(name));
        if (job == null) {
            task.exitCause = Optional.of("unknown");
        } else if (busy) {
            task.exitCause = Optional.of("busy");
        } else if (job.cpus() > freeCpus()) {
            task.exitCause = Optional.of("no_room");
        } else {
            task.startsAt = now + (long) (job.imagePullS() * 1000);
            int index = Integer.parseInt(name.substring(name.indexOf('/') + 1));
            task.endsAt = task.startsAt + (long) ((job.runS() + index * job.runIncrementS()) * 1000);
        }
        tasks.put(name + "#" + attempt, task);
        changed = true;
        // With its image there, a task runs before the next command is executed.
        if (task.exitCause.isEmpty() && task.startsAt <= now) {
            startTask(task);
        }
    }
}
