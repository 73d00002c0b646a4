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
 * A whole cluster in simulated time: the program's controllers, simulated agents, state service, cloud and users, and a
 * network with faults between them. Everything random is drawn from one source, so that a seed always gives the same
 * run.
 */
public final class ClusterSimulation {
    /** What {@link #leader()} returns when no controller leads. */
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

    /** What a simulation is made of; each value has a default. */
    public static final class Builder {
        private final long seed;
        private int controllers = 3;
        private int machines = 12;
        private long agentStepMs = 50;
        private AgentTiming timing = new AgentTiming(2_500, 16_000, 36_000);
        private SimulatedStore store = new SimulatedStore();

        private Builder(long seed) {
            this.seed = seed;
        }

        /** Sets how many controllers there are. */
        public Builder controllers(int count) {
            this.controllers = count;
            return this;
        }

        /** Sets how many machines the cloud has. */
        public Builder machines(int count) {
            this.machines = count;
            return this;
        }

        /** Sets how often agents look at their tasks. */
        public Builder agentStepMs(long ms) {
            this.agentStepMs = ms;
            return this;
        }

        /** Sets the heartbeat period, the lease and the cancellation limit. */
        public Builder timing(AgentTiming of) {
            this.timing = of;
            return this;
        }

        /** Sets limits of the state service, beyond which it rejects requests. */
        public Builder storeLimits(StoreLimits limits) {
            this.store = new SimulatedStore(limits);
            return this;
        }

        /** Makes the simulation; its controllers have started. */
        public ClusterSimulation build() {
            return new ClusterSimulation(this);
        }
    }

    /** A simulation with the default number of controllers, and limits of the state service that bind nowhere. */
    public static Builder builder(long seed) {
        return new Builder(seed);
    }

    /** A simulation with the builder's defaults but for the number of controllers. */
    public ClusterSimulation(long seed, int controllers) {
        this(builder(seed).controllers(controllers));
    }

    private ClusterSimulation(Builder builder) {
        SimulationContext context = new SimulationContext(events, new SplittableRandom(builder.seed), builder.timing);
        SubmittedJobs jobs = new SubmittedJobs();
        store = builder.store;
        storeRejections = new StoreRejections(store);
        cloud = new SimulatedCloud(MACHINE_LIST_LAG_MS, MACHINE_BOOT_MS, builder.machines, Hosts::machineAddress);
        invariants = new ProtocolInvariants(builder.timing.cancelMs(), SimulationSettings.CPU_LIMITS, events::now);
        network = new SimulatedNetwork(context, this::handle);
        SimulationSettings settings = new SimulationSettings(builder.timing, store.limits());
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

    // ---- parts

    /** The state service. */
    public SimulatedStore store() {
        return store;
    }

    /** The cloud. */
    public SimulatedCloud cloud() {
        return cloud;
    }

    /** The network, with its faults. */
    public SimulatedNetwork network() {
        return network;
    }

    /** The agents, with the faults of their machines. */
    public SimulatedAgents agents() {
        return agents;
    }

    /** The users. */
    public SimulatedUsers users() {
        return users;
    }

    /** The invariants, and what was observed of jobs and tasks to check them. */
    public ProtocolInvariants invariants() {
        return invariants;
    }

    // ---- time

    /** The simulated time in milliseconds. */
    public long now() {
        return events.now();
    }

    /** Schedules an action at a simulated time; one in the past runs at once. */
    public void schedule(long time, Runnable action) {
        events.schedule(time, action);
    }

    /** Runs up to a time, without checks of what holds at each moment. */
    public void runUntil(long end) {
        events.runUntil(end);
    }

    /** Runs for a duration, and checks every half second that no task or job is overdue. */
    public void runChecked(long durationMs) {
        for (long end = now() + durationMs; now() < end; ) {
            runUntil(Math.min(end, now() + CHECK_PERIOD_MS));
            invariants.checkDeadlines(now());
        }
    }

    /** Checks that no job waits though there is room; for the time after all faults. */
    public void checkWaitingJobs() {
        invariants.checkWaitingJobs(agents.all(), now());
    }

    // ---- controllers

    /** The settings of one controller. */
    public Settings settings(int index) {
        return controllers.settings(index);
    }

    /** Starts the process of a controller. */
    public void start(int index) {
        controllers.start(index);
    }

    /** Ends the process of a controller without notice. */
    public void crash(int index) {
        controllers.crash(index);
    }

    /** Crashes a controller and starts it again after a time; one that is down already is left as it is. */
    public void crash(int index, long downMs) {
        if (isUp(index)) {
            crash(index);
            events.scheduleAfter(downMs, () -> start(index));
        }
    }

    /** Pauses a controller while its clocks run on; it processes what it received meanwhile when it resumes. */
    public void pauseController(int index, long durationMs) {
        controllers.pause(index, durationMs);
    }

    /** As {@link #pauseController}, but in the middle of its next batch: what that sends leaves after the pause. */
    public void pauseControllerWithinBatch(int index, long durationMs) {
        controllers.pauseWithinBatch(index, durationMs);
    }

    /** As {@link #pauseControllerWithinBatch}, but in the next batch that sends a call to a path. */
    public void pauseControllerBeforeCall(int index, String path, long durationMs) {
        controllers.pauseBeforeCall(index, path, durationMs);
    }

    /** Makes controllers process what they receive in batches, collected for up to a time. */
    public void batchCommandsUpTo(long maxMs) {
        controllers.setMaxBatchDelay(maxMs);
    }

    /** Makes the state service reject the requests of one controller alone; its open watches wait. */
    public void setStoreRejects(int controller, boolean on) {
        storeRejections.setRejected(Hosts.controller(controller), on);
    }

    /** Whether a controller's process runs. */
    public boolean isUp(int index) {
        return controllers.isUp(index);
    }

    /** The index of the controller that leads with the highest term, or {@link #NO_LEADER}. */
    public int leader() {
        return controllers.leader();
    }

    /** Whether any controller leads. */
    public boolean hasLeader() {
        return leader() != NO_LEADER;
    }

    /** The index of the leader, or of the first controller when none leads. */
    public int leaderOrFirst() {
        return Math.max(0, leader());
    }

    /** How many commands have failed inside the running controllers. */
    public long failedCommands() {
        return controllers.failedCommands();
    }

    /** The counters of the running controllers since their starts, summed up by name. */
    public Map<String, Long> counters() {
        return controllers.counters();
    }

    /** One of {@link #counters()}; 0 when nothing was counted. */
    public long counter(String name) {
        return counters().getOrDefault(name, 0L);
    }

    /** A digest of all messages that controllers have sent, to tell whether two versions decide alike. */
    public String messageDigest() {
        return controllers.messageDigest();
    }

    // ---- faults of several parts

    /**
     * Makes the state service come and go until a time: each outage is shorter than the agents' lease, and the gaps are
     * shorter than the leader's.
     */
    public void letStoreComeAndGo(long end) {
        if (now() >= end) {
            store.setOutage(false);
            return;
        }
        store.setOutage(true);
        events.scheduleAfter(STORE_OUTAGE_MS, () -> {
            store.setOutage(false);
            events.scheduleAfter(STORE_AVAILABLE_MS, () -> letStoreComeAndGo(end));
        });
    }

    /** Cancels a number of the running jobs while some machines hang for a duration. */
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
