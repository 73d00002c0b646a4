package io.quartzgw.simulation;

import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The agents of all machines that are up. Each advances in fixed steps and sends heartbeats to one controller; after a
 * redirect it switches to the controller named there, and after another error to the next one.
 */
public final class SimulatedAgents {
    /** The average interval of heartbeats while nothing changes. */
    private static final long HEARTBEAT_MS = 2_500;

    private static final long HEARTBEAT_TIMEOUT_MS = 4_000;
    /** The minimum interval between two heartbeats, also after a change. */
    private static final long MIN_HEARTBEAT_MS = 500;

    private static final long REDIRECT_DELAY_MS = 100;
    private static final long RETRY_DELAY_MS = 1_000;
    private static final int CLIENT_PORT = 8080;
    private static final int MISDIRECTED = 421;

    private final EventQueue events;
    private final SimulationContext context;
    private final SimulatedNetwork network;
    private final SimulatedControllers controllers;
    private final SimulatedCloud cloud;
    private final AgentSetup setup;
    private final Map<String, Host> hosts = new TreeMap<>();

    /**
     * The settings of all agents.
     *
     * @param stepMs the interval at which an agent advances its tasks
     * @param jobs the submitted jobs, which describe how tasks run
     * @param taskListener receives the starts and ends of tasks
     */
    record AgentSetup(long stepMs, SubmittedJobs jobs, SimulatedAgent.TaskListener taskListener) {}

    /** A machine that is up, with its agent and the agent's connection to the controllers. */
    private static final class Host {
        private final SimulatedAgent agent;
        private int targetController;
        private boolean awaitingResponse;
        private boolean hanging;
        private long lastHeartbeatAt;
        private final List<Runnable> receivedWhileHanging = new ArrayList<>();

        Host(SimulatedAgent agent, int targetController) {
            this.agent = agent;
            this.targetController = targetController;
        }
    }

    SimulatedAgents(
            SimulationContext context,
            SimulatedNetwork network,
            SimulatedControllers controllers,
            SimulatedCloud cloud,
            AgentSetup setup) {
        this.events = context.events();
        this.context = context;
        this.network = network;
        this.controllers = controllers;
        this.cloud = cloud;
        this.setup = setup;
    }

    // ---- machines

    /** Starts the agent of a machine that has booted. */
    void boot(String id, String type, String zone, boolean spot) {
        SimulatedAgent agent = new SimulatedAgent(
                id,
                Hosts.machineAddress(id),
                type,
                zone,
                spot,
                context.timing().leaseMs(),
                events.now(),
                job -> setup.jobs.taskProfile(job).orElse(null),
                setup.taskListener);
        addHost(agent);
    }

    private void addHost(SimulatedAgent agent) {
        Host host = new Host(agent, controllers.randomIndex());
        hosts.put(agent.id, host);
        advanceHost(host);
    }

    /** Removes a machine, and ends all tasks on it. */
    void remove(String id) {
        Host removed = hosts.remove(id);
        if (removed != null) {
            removed.agent.stop();
        }
    }

    /** The IDs of the machines that are up, in order. */
    public List<String> machineIds() {
        return List.copyOf(hosts.keySet());
    }

    Collection<SimulatedAgent> all() {
        return hosts.values().stream().map(host -> host.agent).toList();
    }

    /** Makes a machine hang, or resume; when it resumes it receives the direct calls sent to it meanwhile. */
    public void setHanging(String id, boolean on) {
        findHost(id).ifPresent(host -> {
            host.hanging = on;
            if (!on) {
                host.agent.advanceTo(events.now());
                host.receivedWhileHanging.forEach(Runnable::run);
                host.receivedWhileHanging.clear();
            }
        });
    }

    /** Sets whether a machine is faulty: all tasks that are started on it while it is end with an error. */
    public void setFaulty(String id, boolean on) {
        findHost(id).ifPresent(host -> host.agent.setFaulty(on));
    }

    /** Announces that the cloud reclaims a machine, and reclaims it after the notice period. */
    public void reclaim(String id, long noticeMs) {
        findHost(id).ifPresent(host -> {
            host.agent.reclaimAt(events.now() + noticeMs);
            events.scheduleAfter(noticeMs, () -> cloud.reclaim(id, events.now()));
        });
    }

    /**
     * Reboots a machine without delay, with a new agent and no tasks.
     *
     * @param epochKept whether the new agent's epoch is the next after its predecessor's, instead of the first
     */
    public void reboot(String id, boolean epochKept) {
        findHost(id).ifPresent(host -> {
            host.agent.stop();
            addHost(host.agent.replacement(events.now(), epochKept));
        });
    }

    /** The IDs of the machines with at least the given number of free CPUs. */
    public List<String> machinesWithFreeCpus(double cpus) {
        return all().stream()
                .filter(agent -> agent.freeCpus() >= cpus)
                .map(agent -> agent.id)
                .toList();
    }

    private Optional<Host> findHost(String id) {
        return Optional.ofNullable(hosts.get(id));
    }

    /** Handles a request to a machine's agent; a removed machine sends no response. */
    void handle(String id, Call call, Consumer<Reply> onReply) {
        findHost(id).ifPresent(host -> {
            Runnable request = () -> onReply.accept(serve(host.agent, call));
            if (host.hanging) {
                host.receivedWhileHanging.add(request);
            } else {
                request.run();
            }
        });
    }

    private Reply serve(SimulatedAgent agent, Call call) {
        long now = events.now();
        agent.advanceTo(now);
        return call.path().equals("/show")
                ? SimulatedStore.reply(200, agent.heartbeat(now))
                : agent.receiveCommands(Json.readOrNull(call.body()), now);
    }

    // ---- heartbeats

    private boolean isCurrent(Host host) {
        return hosts.get(host.agent.id) == host;
    }

    private void advanceHost(Host host) {
        if (!isCurrent(host)) {
            return;
        }
        if (host.hanging) {
            host.agent.expireLease(events.now());
        } else {
            host.agent.advanceTo(events.now());
            if (isHeartbeatDue(host) && !host.awaitingResponse) {
                sendHeartbeat(host);
            }
        }
        events.scheduleAfter(setup.stepMs, () -> advanceHost(host));
    }

    private boolean isHeartbeatDue(Host host) {
        long elapsed = events.now() - host.lastHeartbeatAt;
        long period = HEARTBEAT_MS * 3 / 4 + context.random().nextInt((int) HEARTBEAT_MS / 2);
        return elapsed >= period || (elapsed >= MIN_HEARTBEAT_MS && host.agent.takeChanged());
    }

    private void sendHeartbeat(Host host) {
        host.awaitingResponse = true;
        host.lastHeartbeatAt = events.now();
        long epoch = host.agent.epoch();
        long sentAt = events.now();
        Call call = Call.post(
                Hosts.controllerEndpoint(host.targetController, CLIENT_PORT),
                "/hello",
                host.agent.heartbeat(sentAt),
                HEARTBEAT_TIMEOUT_MS);
        SingleReply firstReply = new SingleReply(reply -> receiveResponse(host, reply, epoch, sentAt));
        events.scheduleAfter(HEARTBEAT_TIMEOUT_MS, () -> firstReply.accept(Reply.unanswered()));
        transmit(host.agent.id, host.targetController, call, firstReply);
    }

    private void transmit(String id, int target, Call call, SingleReply firstReply) {
        String controller = Hosts.controller(target);
        boolean partitioned = network.isPartitioned(id, controller);
        boolean blocked = network.areHeartbeatsBlocked(id);
        if (!partitioned && !blocked) {
            network.maybeDuplicate(() -> controllers.deliver(target, ListenerKind.CLIENT, call, reply -> {}));
        }
        Runnable arrival = () -> controllers.deliver(target, ListenerKind.CLIENT, call, reply -> {
            if (!network.isPartitioned(id, controller) && !network.isInboundBlocked(id)) {
                events.scheduleAfter(1 + network.linkDelay(), () -> firstReply.accept(reply));
            }
        });
        if (blocked || (!partitioned && !controllers.isUp(target))) {
            events.scheduleAfter(1, () -> firstReply.accept(Reply.unanswered()));
        } else if (partitioned) {
            network.delayUntilHealed(id, NetworkPartitions.ANY_CONTROLLER, arrival);
        } else {
            events.scheduleAfter(network.baseDelay() + network.linkDelay(), arrival);
        }
    }

    private void receiveResponse(Host host, Reply reply, long epoch, long sentAt) {
        if (!isCurrent(host)) {
            return;
        }
        if (reply.ok() && !host.hanging) {
            host.agent.receiveHeartbeatResponse(reply, epoch, sentAt, events.now());
            host.awaitingResponse = false;
            return;
        }
        long delayMs;
        if (reply.status() == MISDIRECTED && reply.json().has("home_controller")) {
            host.targetController =
                    Hosts.controllerIndex(reply.json().path("home_controller").asText());
            delayMs = REDIRECT_DELAY_MS;
        } else {
            host.targetController = (host.targetController + 1) % controllers.count();
            delayMs = RETRY_DELAY_MS;
        }
        events.scheduleAfter(delayMs, () -> host.awaitingResponse = false);
        // Makes the next heartbeat due as soon as the delay has passed.
        host.lastHeartbeatAt = events.now() - HEARTBEAT_MS * 2;
    }
}
