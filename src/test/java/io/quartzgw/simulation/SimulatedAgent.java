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
 * The agent of a machine, as specified by the protocol: it executes commands, sends heartbeats, and when its lease
 * expires it drops all tasks and begins a new epoch. Commands are fenced by the token and the epoch that they carry.
 * Callers supply the time.
 */
public final class SimulatedAgent {
    private static final double CPUS_SMALL = 8;
    private static final double CPUS_LARGE = 16;
    /** How long a task runs on a faulty machine before it fails. */
    private static final long FAULTY_RUN_MS = 200;

    /**
     * How the tasks of a job run.
     *
     * @param cpus the CPUs that each task takes
     * @param runS the run time of the first task, in seconds
     * @param runIncrementS how much longer each task runs than the one before it, in seconds
     * @param imagePullS the time to pull the image, in seconds
     * @param service whether tasks run until they are stopped
     * @param faulty whether tasks end with an error
     * @param runSByTask the run times of single tasks that differ from the others, in seconds by index
     */
    public record TaskProfile(
            double cpus,
            double runS,
            double runIncrementS,
            double imagePullS,
            boolean service,
            boolean faulty,
            Map<Integer, Double> runSByTask) {

        /** The profile of a job whose tasks' run times follow from the first one's. */
        public TaskProfile(
                double cpus, double runS, double runIncrementS, double imagePullS, boolean service, boolean faulty) {
            this(cpus, runS, runIncrementS, imagePullS, service, faulty, Map.of());
        }

        /** The run time of a task in milliseconds. */
        long runMs(int index) {
            return (long) (runSByTask.getOrDefault(index, runS + index * runIncrementS) * 1000);
        }
    }

    /** Receives the starts and ends of tasks on a machine. */
    public interface TaskListener {
        /** A start command is executed, whether or not the task then runs, and however briefly. */
        default void startExecuted(SimulatedAgent on, String task) {}

        /** A task has begun to run. */
        default void started(SimulatedAgent on, String task) {}

        /** A task has stopped running, for whatever reason. */
        default void ended(SimulatedAgent on, String task) {}

        /** A task has run to its end without an error. */
        default void completed(String task) {}
    }

    public final String id;
    private final String address;
    public final String type;
    public final String zone;
    public final boolean spot;
    private final long leaseMs;
    private final Function<String, TaskProfile> jobs;
    private final TaskListener taskListener;
    private final Map<String, AgentTask> tasks = new LinkedHashMap<>();
    private long epoch = 1;
    private long heartbeatCount;
    private long token;
    private long leaseRenewedAt;
    private boolean changed;
    private long reclaimAt = Long.MAX_VALUE;
    private boolean faulty;

    /**
     * Creates the agent of a machine, in its first epoch.
     *
     * @param jobs maps a job ID to the profile of its tasks; returns null for a job that was not submitted
     */
    public SimulatedAgent(
            String id,
            String address,
            String type,
            String zone,
            boolean spot,
            long leaseMs,
            long now,
            Function<String, TaskProfile> jobs,
            TaskListener taskListener) {
        this.id = id;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.leaseMs = leaseMs;
        this.leaseRenewedAt = now;
        this.jobs = jobs;
        this.taskListener = taskListener;
    }

    /**
     * Creates the agent of this machine after a reboot, without tasks or a token.
     *
     * @param epochKept whether its epoch is the next after the present one, instead of the first
     */
    SimulatedAgent replacement(long now, boolean epochKept) {
        SimulatedAgent rebooted = new SimulatedAgent(id, address, type, zone, spot, leaseMs, now, jobs, taskListener);
        rebooted.epoch = epochKept ? epoch + 1 : 1;
        return rebooted;
    }

    /** The epoch, which is incremented whenever the lease expires. */
    public long epoch() {
        return epoch;
    }

    /** The highest fencing token received so far. */
    public long token() {
        return token;
    }

    /** Sets when the cloud reclaims the machine; heartbeats then report it. */
    void reclaimAt(long time) {
        reclaimAt = time;
        changed = true;
    }

    /** Sets whether the machine is faulty: all tasks that are started while it is end with an error. */
    void setFaulty(boolean on) {
        faulty = on;
    }

    /** Returns whether a task, the epoch or another reported value has changed since the last call. */
    public boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /** The CPUs of the machine, less those of all tasks that were started and have not ended. */
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

    /** The names of the tasks that are running. */
    public List<String> runningTasks() {
        return tasks.values().stream()
                .filter(task -> task.running)
                .map(task -> task.name)
                .toList();
    }

    /** Stops the machine and all tasks on it. */
    public void stop() {
        dropTasks();
    }

    /** Checks the lease for expiry, then starts and ends the tasks that are due. */
    public void advanceTo(long now) {
        expireLease(now);
        for (AgentTask task : List.copyOf(tasks.values())) {
            if (task.exitCause.isEmpty() && !task.running && now >= task.startsAt) {
                startTask(task);
            }
            if (task.exitCause.isEmpty() && task.running && task.endsBy(now)) {
                if (!task.fails()) {
                    taskListener.completed(task.name);
                }
                endTask(task, task.fails() ? "error" : "done");
            }
        }
    }

    /** Drops all tasks and begins the next epoch if the lease has expired, which a hanging machine does as well. */
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
        taskListener.started(this, task.name);
    }

    private void dropTasks() {
        tasks.values().stream().filter(task -> task.running).forEach(task -> taskListener.ended(this, task.name));
        tasks.clear();
    }

    private void endTask(AgentTask task, String cause) {
        if (task.running) {
            task.running = false;
            taskListener.ended(this, task.name);
        }
        task.exitCause = Optional.of(cause);
        changed = true;
    }

    /** Builds the body of the next heartbeat. */
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

    /** Handles the response to a heartbeat: renews the lease from the time when the heartbeat was sent. */
    public void receiveHeartbeatResponse(Reply reply, long sentInEpoch, long sentAt, long now) {
        JsonNode body = reply.json();
        if (!reply.ok() || sentInEpoch != epoch || body.path("baton").asLong() < token || !body.has("baton")) {
            return;
        }
        token = body.path("baton").asLong();
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
        execute(body.path("orders"), now);
    }

    /** Handles a direct call. */
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
            AgentTask existing = tasks.get(name + "#" + attempt);
            switch (command.path("verb").asText()) {
                case "run" -> {
                    if (existing == null) {
                        executeStart(name, attempt, now);
                    }
                }
                case "kill" -> {
                    if (existing != null && existing.exitCause.isEmpty()) {
                        endTask(existing, "stopped");
                    }
                }
                default -> {
                    if (existing != null && existing.exitCause.isPresent()) {
                        tasks.remove(name + "#" + attempt);
                    }
                }
            }
        }
    }

    private void executeStart(String name, long attempt, long now) {
        taskListener.startExecuted(this, name);
        TaskProfile job = jobs.apply(name.substring(0, name.indexOf('/')));
        AgentTask task = new AgentTask(name, attempt, job);
        boolean hasOtherAttempt = tasks.values().stream().anyMatch(other -> other.name.equals(name));
        if (job == null) {
            task.exitCause = Optional.of("unknown");
        } else if (hasOtherAttempt) {
            task.exitCause = Optional.of("busy");
        } else if (job.cpus() > freeCpus()) {
            task.exitCause = Optional.of("no_room");
        } else {
            task.startsAt = now + (long) (job.imagePullS() * 1000);
            int index = Integer.parseInt(name.substring(name.indexOf('/') + 1));
            task.endsAt = task.startsAt + job.runMs(index);
            if (faulty) {
                task.failAt(task.startsAt + FAULTY_RUN_MS);
            }
        }
        tasks.put(name + "#" + attempt, task);
        changed = true;
        // Without an image pull, the task starts before the next command is executed.
        if (task.exitCause.isEmpty() && task.startsAt <= now) {
            startTask(task);
        }
    }
}
