package io.quartzgw.simulation;

import io.quartzgw.app.Settings;
import io.quartzgw.http.Call;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.store.StoreLimits;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A whole cluster in simulated time: the program's controllers; simulated agents, state service, cloud and users; and a
 * simulated network with faults. All random values come from one seeded source, which makes each run reproducible by
 * its seed.
 */
public final class ClusterSimulation {
    /** Returned by {@link #leader()} when no controller leads. */
    public static final int NO_LEADER = -1;

    private static final long CHECK_PERIOD_MS = 500;
    private static final long STORE_PERIOD_MS = 50;
    private static final long CLOUD_PERIOD_MS = 200;
    private static final long MACHINE_LIST_LAG_MS = 5_000;
    private static final long MACHINE_BOOT_MS = 8_000;
    private static final int MAX_HANGING_MACHINES = 4;
    private static final long STORE_OUTAGE_MS = 2_000;
    private static final long STORE_AVAILABLE_MS = 1_000;

    private final EventQueue events = new EventQueue();
    private final SimulatedStore store;
    private final StoreRejections storeRejections;
    private final SimulatedCloud cloud;
    private final ProtocolInvariants invariants;
    private final SimulatedNetwork network;
    private final SimulatedControllers controllers;
    private final SimulatedAgents agents;
    private final SimulatedUsers users;

    /** The parameters of a simulation; each has a default. */
    public static final class Builder {
        private final long seed;
        private int controllers = 3;
        private int machines = 12;
        private long agentStepMs = 50;
        private AgentTiming timing = new AgentTiming(2_500, 16_000, 36_000);
        private SimulatedStore store = new SimulatedStore();
        private double guaranteedCpus;

        private Builder(long seed) {
            this.seed = seed;
        }

        /** Sets the number of controllers. */
        public Builder controllers(int count) {
            this.controllers = count;
            return this;
        }

        /** Sets the maximum number of machines that can be rented at a time. */
        public Builder machines(int count) {
            this.machines = count;
            return this;
        }

        /** Sets the interval at which agents advance their tasks. */
        public Builder agentStepMs(long ms) {
            this.agentStepMs = ms;
            return this;
        }

        /** Sets the agents' heartbeat interval and lease duration, and the cancel limit. */
        public Builder timing(AgentTiming value) {
            this.timing = value;
            return this;
        }

        /** Sets the limits beyond which the state service rejects requests. */
        public Builder storeLimits(StoreLimits limits) {
            this.store = new SimulatedStore(limits);
            return this;
        }

        /** Sets an objective for guaranteed quotas, for which this many CPUs stay rented; by default there is none. */
        public Builder guaranteedCpus(double cpus) {
            this.guaranteedCpus = cpus;
            return this;
        }

        /** Creates the simulation and starts its controllers. */
        public ClusterSimulation build() {
            return new ClusterSimulation(this);
        }
    }

    /** Returns a builder with default parameters; by default the state service does not limit the write rate. */
    public static Builder builder(long seed) {
        return new Builder(seed);
    }

    /** Creates a simulation with the builder's defaults except for the number of controllers. */
    public ClusterSimulation(long seed, int controllers) {
        this(builder(seed).controllers(controllers));
    }

    private ClusterSimulation(Builder builder) {
        SimulationContext context = new SimulationContext(events, new SplittableRandom(builder.seed), builder.timing);
        SubmittedJobs jobs = new SubmittedJobs();
        store = builder.store;
        storeRejections = new StoreRejections(store);
        cloud = new SimulatedCloud(MACHINE_LIST_LAG_MS, MACHINE_BOOT_MS, builder.machines, Hosts::machineAddress);
        invariants = new ProtocolInvariants(builder.timing.cancelLimitMs(), SimulationSettings.CPU_LIMITS, events::now);
        network = new SimulatedNetwork(context, this::handle);
        SimulationSettings settings = new SimulationSettings(builder.timing, store.limits(), builder.guaranteedCpus);
        controllers = new SimulatedControllers(
                context, settings, network, new LeaderActionChecks(invariants), builder.controllers);
        agents = new SimulatedAgents(
                context,
                network,
                controllers,
                cloud,
                new SimulatedAgents.AgentSetup(builder.agentStepMs, jobs, invariants));
        users = new SimulatedUsers(context, network, controllers, jobs, invariants);
        cloud.onMachineChange(agents::boot, agents::remove);
        controllers.startAll();
        events.scheduleEvery(STORE_PERIOD_MS, () -> store.advanceTo(now()));
        events.scheduleEvery(CLOUD_PERIOD_MS, () -> cloud.advanceTo(now()));
    }

    private void handle(String from, String to, Call call, Consumer<Reply> onReply) {
        if (to.equals(Hosts.STORE)) {
            storeRejections.handle(from, call, now(), onReply);
        } else if (to.equals(Hosts.CLOUD)) {
            cloud.handle(call, now(), onReply);
        } else if (Hosts.isController(to)) {
            controllers.deliver(Hosts.controllerIndex(to), ListenerKind.PEER, call, onReply);
        } else {
            agents.handle(to, call, onReply);
        }
    }

    // ---- components

    /** The state service. */
    public SimulatedStore store() {
        return store;
    }

    /** The cloud. */
    public SimulatedCloud cloud() {
        return cloud;
    }

    /** The network, for injecting network faults. */
    public SimulatedNetwork network() {
        return network;
    }

    /** The agents, for injecting faults of their machines. */
    public SimulatedAgents agents() {
        return agents;
    }

    /** The users. */
    public SimulatedUsers users() {
        return users;
    }

    /** The invariants, with the observations of jobs and tasks on which their checks are based. */
    public ProtocolInvariants invariants() {
        return invariants;
    }

    // ---- time

    /** The simulated time in milliseconds. */
    public long now() {
        return events.now();
    }

    /** Schedules an action at a simulated time; if that has passed, the action is due now. */
    public void schedule(long time, Runnable action) {
        events.schedule(time, action);
    }

    /** Runs up to a time without checking deadlines. */
    public void runUntil(long end) {
        events.runUntil(end);
    }

    /** Runs for a duration, and checks every half second the deadlines of tasks and jobs. */
    public void runChecked(long durationMs) {
        for (long end = now() + durationMs; now() < end; ) {
            runUntil(Math.min(end, now() + CHECK_PERIOD_MS));
            invariants.checkDeadlines(now());
        }
    }

    /** As {@link ProtocolInvariants#checkWaitingJobs}, for all agents and the present time. */
    public void checkWaitingJobs() {
        invariants.checkWaitingJobs(agents.all(), now());
    }

    // ---- controllers

    /** The settings of one controller. */
    public Settings settings(int index) {
        return controllers.settings(index);
    }

    /** Changes the limits of the state service in the settings of a controller, from its next start on. */
    public void setStoreLimits(int controller, StoreLimits limits) {
        controllers.setStoreLimits(controller, limits);
    }

    /** Starts the process of a controller. */
    public void start(int index) {
        controllers.start(index);
    }

    /** Ends a controller's process abruptly, without shutdown. */
    public void crash(int index) {
        controllers.crash(index);
    }

    /** Crashes a controller and restarts it after {@code downMs}; has no effect if the controller is down already. */
    public void crash(int index, long downMs) {
        if (isUp(index)) {
            crash(index);
            events.scheduleAfter(downMs, () -> start(index));
        }
    }

    /**
     * Pauses a controller while its clocks continue to run. It processes what it received meanwhile when it resumes.
     */
    public void pauseController(int index, long durationMs) {
        controllers.pause(index, durationMs);
    }

    /** As {@link #pauseController}, but in the middle of the next batch: its messages are sent after the pause. */
    public void pauseControllerWithinBatch(int index, long durationMs) {
        controllers.pauseWithinBatch(index, durationMs);
    }

    /** As {@link #pauseControllerWithinBatch}, but in the next batch that sends a call to {@code path}. */
    public void pauseControllerBeforeCall(int index, String path, long durationMs) {
        controllers.pauseBeforeCall(index, path, durationMs);
    }

    /** Makes controllers collect what they receive into batches for a random time of less than {@code maxMs}. */
    public void setMaxBatchDelay(long maxMs) {
        controllers.setMaxBatchDelay(maxMs);
    }

    /**
     * Makes the state service reject the requests of one controller only. The responses to its pending watches are
     * delayed until the fault ends.
     */
    public void setStoreRejects(int controller, boolean on) {
        storeRejections.setRejected(Hosts.controller(controller), on);
    }

    /** Whether a controller's process is running; also true while it is paused. */
    public boolean isUp(int index) {
        return controllers.isUp(index);
    }

    /** The index of the leading controller with the highest term, or {@link #NO_LEADER}. */
    public int leader() {
        return controllers.leader();
    }

    /** Whether any controller leads. */
    public boolean hasLeader() {
        return leader() != NO_LEADER;
    }

    /** The index of the leader, or 0 when no controller leads. */
    public int leaderOrFirst() {
        return Math.max(0, leader());
    }

    /** The number of event loop commands that failed in the running controllers since their starts. */
    public long failedEvents() {
        return controllers.failedEvents();
    }

    /** The counters of the running controllers since their starts, summed by name. */
    public Map<String, Long> counters() {
        return controllers.counters();
    }

    /** The value of one of the {@link #counters()}; 0 if it does not exist. */
    public long counter(String name) {
        return counters().getOrDefault(name, 0L);
    }

    /** A digest of all messages that controllers have sent, for checking that two versions decide alike. */
    public String messageDigest() {
        return controllers.messageDigest();
    }

    // ---- faults of several components

    /**
     * Makes the state service available only intermittently until {@code end}. Each outage is shorter than the agents'
     * lease; each time of availability is shorter than the leader's lease.
     */
    public void makeStoreIntermittent(long end) {
        if (now() >= end) {
            store.setOutage(false);
            return;
        }
        store.setOutage(true);
        events.scheduleAfter(STORE_OUTAGE_MS, () -> {
            store.setOutage(false);
            events.scheduleAfter(STORE_AVAILABLE_MS, () -> makeStoreIntermittent(end));
        });
    }

    /** Cancels a number of running jobs while up to four machines hang for {@code hangMs}. */
    public void cancelRunningJobsWhileMachinesHang(int count, long hangMs) {
        users.cancelRunningJobs(count);
        if (hangMs > 0) {
            List<String> machines = agents.machineIds();
            List<String> hanging = machines.subList(0, Math.min(MAX_HANGING_MACHINES, machines.size()));
            hanging.forEach(machine -> agents.setHanging(machine, true));
            schedule(now() + hangMs, () -> hanging.forEach(machine -> agents.setHanging(machine, false)));
        }
    }
}
