package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.app.Controller;
import io.quartzgw.app.Settings;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The cores of some controllers, the stand-ins and a network in simulated time. Requests may be held up and delivered
 * late, sockets cut, nodes and machines killed; the same seed plays the same world.
 */
public final class ClusterSimulation {
    public static final String STORE = "store";
    public static final String CLOUD = "cloud";
    private static final long REPORT_MS = 2_500;
    private static final AgentTiming TIMES = new AgentTiming(REPORT_MS, 16_000, 36_000);
    private static final long WORKER_TIMEOUT_MS = 4_000;
    private static final long SWEEP_MS = 500;
    /** Within such a time after its last task a job is called off, while its end is being written. */
    private static final int CANCEL_AT_END_MS = 60;

    public final SplittableRandom random;
    public final SimulatedStore store;
    public final SimulatedCloud cloud;
    public final ProtocolInvariants invariants;
    private final AgentTiming times;
    private final SimulationSettings settings;
    private final CommandDelays orderDelays;
    private final MessageDigests sent = new MessageDigests();
    private final List<SimNode> nodes = new ArrayList<>();
    private final Map<String, SimWorker> workers = new TreeMap<>();
    private final Map<String, JsonNode> submittedSpec = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final NetworkPartitions partitions = new NetworkPartitions();
    /** Machines whose reports arrive, while answers and orders don't reach them. */
    private final Set<String> deaf = new HashSet<>();
    /** Controllers that the state service refuses while it serves the others. */
    private final Set<String> refused = new HashSet<>();

    private final Map<String, List<Runnable>> refusedWatches = new HashMap<>();
    /** Machines that can open no connection to a controller, while orders reach them. */
    private final Set<String> setHeartbeatsBlocked = new HashSet<>();

    private double delayTransactionShare;
    private double loseTransactionResponses;
    private long slowStoreMs;
    private long slowLinkMs;
    private long batchMs;
    private double cancelJobsAtLastTaskEnd;
    private double duplicateMessageShare;
    private long now;
    private long sequence;
    private long processes;
    /** How often a worker looks at its tasks. */
    private final long stepMs;

    private record Event(long at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class SimNode {
        private final String name;
        private EventLoop kernel;
        private Controller node;
        private long epoch;
        private long wake = Long.MAX_VALUE;
        private final Map<Long, Consumer<Response>> inbound = new HashMap<>();
        private long exchanges;
        private boolean frozen;
        private final List<Command> whileFrozen = new ArrayList<>();
        private final List<Command> batch = new ArrayList<>();

        SimNode(String name) {
            this.name = name;
        }
    }

    private static final class SimWorker {
        private final SimulatedAgent worker;
        private int home;
        private boolean reporting;
        private boolean hanging;
        private long lastSent;
        private final List<Runnable> whileHanging = new ArrayList<>();

        SimWorker(SimulatedAgent worker) {
            this.worker = worker;
        }
    }

    public ClusterSimulation(long seed, int size) {
        this(seed, size, 12, 50);
    }

    /** @param capacity how many machines the cloud has */
    public ClusterSimulation(long seed, int size, int capacity, long stepMs) {
        this(seed, size, capacity, stepMs, TIMES);
    }

    /** @param times the workers' figures */
    public ClusterSimulation(long seed, int size, int capacity, long stepMs, AgentTiming times) {
        this(seed, size, capacity, stepMs, times, null);
    }

    /**
     * @param limits what the state service takes, which it then refuses to exceed; null for limits that bind nowhere
     */
    public ClusterSimulation(long seed, int size, int capacity, long stepMs, AgentTiming times, StoreLimits limits) {
        this.times = times;
        this.store = limits == null ? new SimulatedStore() : new SimulatedStore(limits);
        this.settings = new SimulationSettings(times, store.limits());
        this.invariants = new ProtocolInvariants(times.cancelMs(), SimulationSettings.CPU_LIMITS);
        this.random = new SplittableRandom(seed);
        this.orderDelays = new CommandDelays(random);
        this.stepMs = stepMs;
        this.cloud = new SimulatedCloud(5_000, 8_000, capacity, ClusterSimulation::address);
        cloud.listener(new SimulatedCloud.Listener() {
            @Override
            public void booted(String id, String type, String zone, boolean spot) {
                boot(id, type, zone, spot);
            }

            @Override
            public void gone(String id) {
                SimWorker gone = workers.remove(id);
                if (gone != null) {
                    gone.worker.stop();
                }
            }
        });
        for (int i = 0; i < size; i++) {
            nodes.add(new SimNode("rig-" + i));
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
        repeat(50, () -> store.advanceTo(now));
        repeat(200, () -> cloud.advanceTo(now));
        invariants.lastTaskEnded(job -> {
            if (cancelJobsAtLastTaskEnd > 0 && random.nextDouble() < cancelJobsAtLastTaskEnd) {
                schedule(now + random.nextInt(CANCEL_AT_END_MS), () -> cancelJob(job));
            }
        });
    }

    // ---- time

    public long now() {
        return now;
    }

    public void schedule(long moment, Runnable run) {
        events.add(new Event(Math.max(now, moment), ++sequence, run));
    }

    private void repeat(long period, Runnable run) {
        schedule(now + period, () -> {
            run.run();
            repeat(period, run);
        });
    }

    /** Plays all events up to a moment. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        now = end;
    }

    /** Lets time pass, looking every half second for tasks and jobs that break a rule by being there. */
    public void runChecked(long ms) {
        for (long end = now + ms; now < end; ) {
            runUntil(Math.min(end, now + SWEEP_MS));
            invariants.checkDeadlines(now);
        }
    }

    // ---- nodes

    /** The settings of one controller. */
    public Settings settings(int index) {
        return settings.of(index, nodes.size());
    }

    /** Starts the process of a controller. */
    public void start(int index) {
        SimNode sim = nodes.get(index);
        sim.epoch++;
        sim.wake = Long.MAX_VALUE;
        sim.inbound.clear();
        sim.frozen = false;
        sim.whileFrozen.clear();
        sim.batch.clear();
        long process = ++processes;
        sim.kernel = new EventLoop(random.nextLong());
        sim.kernel.processBatch(List.of(), time());
        sim.node = new Controller(sim.kernel, settings(index), process, Json::object);
        sim.node.start();
        handle(sim, List.of());
    }

    /** Ends the process of a controller without notice. */
    public void crash(int index) {
        SimNode sim = nodes.get(index);
        sim.epoch++;
        sim.node = null;
    }

    /** A controller stands still while its clocks run; what came meanwhile is read when it goes on. */
    public void pauseController(int index, long ms) {
        SimNode sim = nodes.get(index);
        if (sim.node == null || sim.frozen) {
            return;
        }
        sim.frozen = true;
        long epoch = sim.epoch;
        schedule(now + ms, () -> {
            if (sim.epoch == epoch) {
                sim.frozen = false;
                List<Command> batch = List.copyOf(sim.whileFrozen);
                sim.whileFrozen.clear();
                handle(sim, batch);
            }
        });
    }

    /** A controller crashes and is started again after a while; one that is down already is left as it is. */
    public void crash(int index, long downMs) {
        if (isUp(index)) {
            crash(index);
            schedule(now + downMs, () -> start(index));
        }
    }

    public boolean isUp(int index) {
        return nodes.get(index).node != null;
    }

    /** Commands that failed inside a node, on all that are up. */
    public long failedCommands() {
        return nodes.stream()
                .filter(sim -> sim.node != null)
                .mapToLong(sim -> sim.kernel.failures())
                .sum();
    }

    /** What the nodes that are up have counted since they started, by name, all together. */
    public Map<String, Long> counters() {
        Map<String, Long> counts = new TreeMap<>();
        nodes.stream()
                .filter(sim -> sim.node != null)
                .forEach(sim -> sim.kernel.counters().forEach((name, count) -> counts.merge(name, count, Long::sum)));
        return counts;
    }

    /** A digest of all that the controllers have sent so far, to tell whether two versions decide alike. */
    public String messageDigest() {
        return sent.summary();
    }

    /** The index of the node that leads with the highest term, or -1. */
    public int leader() {
        int best = -1;
        for (int i = 0; i < nodes.size(); i++) {
            Controller node = nodes.get(i).node;
            if (node != null
                    && node.isLeading()
                    && (best < 0 || node.term() > nodes.get(best).node.term())) {
                best = i;
            }
        }
        return best;
    }

    private ClockReading time() {
        return new ClockReading(now, 1_800_000_000_000L + now);
    }

    private void handle(SimNode sim, List<Command> batch) {
        if (sim.frozen) {
            sim.whileFrozen.addAll(batch);
            return;
        }
        // Shown by the log's lines: which node, and when.
        Thread.currentThread().setName(now + " " + sim.name);
        for (Effect effect : sim.kernel.processBatch(batch, time())) {
            sent.add(now, sim.name, effect);
            if (effect instanceof Effect.Answer answer) {
                Consumer<Response> then = sim.inbound.remove(answer.exchange());
                if (then != null) {
                    then.accept(answer.response());
                }
            } else if (effect instanceof Effect.Send send) {
                long epoch = sim.epoch;
                send(sim.name, send.request(), reply -> {
                    if (sim.epoch == epoch && sim.node != null) {
                        command(sim, new Command.CallEnded(send.call(), reply));
                    }
                });
            }
        }
        long due = Math.max(now + 1, sim.kernel.nextTimerAt());
        if (due < sim.wake) {
            sim.wake = due;
            long epoch = sim.epoch;
            schedule(due, () -> {
                if (sim.epoch == epoch && sim.node != null) {
                    sim.wake = Long.MAX_VALUE;
                    handle(sim, List.of());
                }
            });
        }
    }

    /** Hands a command to a controller, at once or with the others of its next batch. */
    private void command(SimNode sim, Command command) {
        if (batchMs == 0) {
            handle(sim, List.of(command));
            return;
        }
        sim.batch.add(command);
        if (sim.batch.size() == 1) {
            long epoch = sim.epoch;
            schedule(now + random.nextLong(batchMs), () -> {
                if (sim.epoch == epoch && sim.node != null) {
                    List<Command> batch = List.copyOf(sim.batch);
                    sim.batch.clear();
                    handle(sim, batch);
                }
            });
        }
    }

    private void deliver(int index, ListenerKind listener, Call call, Consumer<Reply> then) {
        SimNode sim = nodes.get(index);
        if (sim.node == null) {
            return;
        }
        long id = ++sim.exchanges;
        sim.inbound.put(id, response -> then.accept(new Reply(response.status(), response.body())));
        byte[] body = call.body() == null ? new byte[0] : call.body();
        command(sim, new Command.Arrived(new Request(id, listener, call.method(), call.path(), "", body)));
    }

    // ---- network

    /** Cuts two hosts off from each other, or one from all with {@code "*"}; packets are held back. */
    public void partition(String one, String other) {
        partitions.cut(one, other);
    }

    /** Ends a cut between two hosts. */
    public void heal(String one, String other) {
        partitions.heal(one, other).forEach(run -> schedule(now + 1 + random.nextInt(20), run));
    }

    /** Ends a cut whose packets are lost for good: both sides had given up and closed. */
    public void healDroppingPackets(String one, String other) {
        partitions.drop(one, other);
    }

    public void delayTransactionShare(double share) {
        delayTransactionShare = share;
    }

    /** The share of transactions that are carried out at once and whose answer is lost. */
    public void loseTransactionResponses(double share) {
        loseTransactionResponses = share;
    }

    /** The state service takes up to so long for each answer. */
    public void delayStoreUpTo(long mostMs) {
        slowStoreMs = mostMs;
    }

    /** Messages between controllers and machines take up to so long, each way. */
    public void delayLinksUpTo(long mostMs) {
        slowLinkMs = mostMs;
    }

    private long link() {
        return slowLinkMs > 0 ? random.nextLong(slowLinkMs) : 0;
    }

    /** The share of direct orders that are held up for seconds, or whose answers are. */
    public void delayCommandShare(double share) {
        orderDelays.held(share);
    }

    /** Every direct order is carried out late, by up to so long, whether or not its sender still waits. */
    public void delayCommandsUpTo(long mostMs) {
        orderDelays.upTo(mostMs);
    }

    /** Controllers that are busy: each applies what has come in batches, up to so far apart. */
    public void batchCommandsUpTo(long mostMs) {
        batchMs = mostMs;
    }

    /** The state service refuses one controller alone, whose leases run out; its open watches wait. */
    public void setStoreRejects(int node, boolean on) {
        if (on) {
            refused.add("rig-" + node);
        } else {
            refused.remove("rig-" + node);
            List<Runnable> watches = refusedWatches.remove("rig-" + node);
            if (watches != null) {
                watches.forEach(Runnable::run);
            }
        }
    }

    /** The share of jobs that are called off at the moment when their last task ends. */
    public void cancelJobsAtLastTaskEnd(double share) {
        cancelJobsAtLastTaskEnd = share;
    }

    /**
     * Users call off so many of the jobs that run, at once.
     *
     * @param hangMs for how long the machines of the first ones hang; 0 for not at all
     */
    public void cancelRunningJobs(int count, long hangMs) {
        List<String> open = invariants.runningJobs();
        for (String job : open.subList(0, Math.min(count, open.size()))) {
            schedule(now + random.nextInt(200), () -> cancelJob(job));
        }
        if (hangMs > 0) {
            List<String> some = machineIds().subList(0, Math.min(4, machineIds().size()));
            some.forEach(machine -> setAgentHanging(machine, true));
            schedule(now + hangMs, () -> some.forEach(machine -> setAgentHanging(machine, false)));
        }
    }

    /** Users send what is no job or can't run, repeat what was accepted, and ask for what nobody submitted. */
    public void sendInvalidRequests() {
        for (JsonNode spec : List.copyOf(submittedSpec.values())) {
            if (random.nextInt(4) == 0) {
                String id = spec.path("id").asText();
                ask(id, "POST", "/submissions", spec, reply -> invariants.recordRejection(id, reply.status()));
            }
        }
        String id = "j-9" + now;
        InvalidJobs.of(id)
                .forEach(spec -> sendUserRequest(
                        anyNode(),
                        "POST",
                        "/submissions",
                        spec,
                        reply -> invariants.recordResponseToInvalidJob(spec.toString(), reply.status())));
        sendUserRequest(
                anyNode(),
                "GET",
                "/submissions/" + id,
                null,
                reply -> invariants.recordResponseForUnknownJob(id, reply.status()));
        sendUserRequest(
                anyNode(),
                "POST",
                "/submissions/" + id + "/abort",
                Json.object(),
                reply -> invariants.recordResponseForUnknownJob(id, reply.status()));
    }

    /** Looks for jobs that wait though there is room, now that all troubles are over. */
    public void checkWaitingJobs() {
        invariants.checkWaitingJobs(
                workers.values().stream().map(sim -> sim.worker).toList(), now);
    }

    /** A machine's reports reach no controller: it can't connect. Orders reach it, and are answered. */
    public void setHeartbeatsBlocked(String machine, boolean on) {
        if (on) {
            setHeartbeatsBlocked.add(machine);
        } else {
            setHeartbeatsBlocked.remove(machine);
        }
    }

    /** The share of reports, peers' messages and users' requests of which a copy comes late. */
    public void duplicateMessageShare(double share) {
        duplicateMessageShare = share;
    }

    /** A machine's reports arrive, but nothing reaches it; orders are held back and come late. */
    public void setInboundBlocked(String machine, boolean on) {
        if (on) {
            deaf.add(machine);
        } else {
            deaf.remove(machine);
            heal(machine, "*");
        }
    }

    // A copy comes by seconds to well over a lease late, and nobody waits for its answer.
    private void perhapsCopy(Runnable arrive) {
        if (duplicateMessageShare > 0 && random.nextDouble() < duplicateMessageShare) {
            schedule(now + 1_000 + random.nextInt((int) (3 * times.leaseMs())), arrive);
        }
    }

    private void send(String from, Call call, Consumer<Reply> then) {
        String to = SimulationSettings.host(call.endpoint());
        boolean[] done = new boolean[1];
        Consumer<Reply> once = reply -> {
            if (!done[0]) {
                done[0] = true;
                then.accept(reply);
            }
        };
        schedule(now + call.timeoutMs(), () -> once.accept(Reply.lost()));
        boolean late = call.path().equals("/multi") && random.nextDouble() < delayTransactionShare;
        boolean answerLost = loseTransactionResponses > 0
                && call.path().equals("/multi")
                && random.nextDouble() < loseTransactionResponses
                && Json.readOrNull(call.body()).has("apply");
        CommandDelays.Delay delay = call.path().equals("/orders") ? orderDelays.next() : CommandDelays.Delay.NONE;
        long slow = to.equals(STORE)
                ? slowStoreMs > 0 ? random.nextLong(slowStoreMs) : 0
                : to.startsWith("i-") ? link() : 0;
        long slowThere = to.startsWith("i-") ? link() : 0;
        if (to.startsWith("rig-")) {
            perhapsCopy(() -> serve(from, to, call, reply -> {}));
        }
        Runnable arrive = () -> serve(from, to, call, reply -> {
            if (!partitions.isCut(from, to) && !answerLost) {
                schedule(now + 1 + random.nextInt(3) + slow + delay.answerMs(), () -> once.accept(reply));
            }
        });
        if (late) {
            schedule(now + 2_000 + random.nextInt(20_000), arrive);
        } else if (partitions.isCut(from, to) || deaf.contains(to)) {
            partitions.hold(from, to, arrive);
        } else {
            schedule(now + 1 + random.nextInt(3) + delay.orderMs() + slowThere, arrive);
        }
    }

    private void serve(String from, String to, Call call, Consumer<Reply> then) {
        if (to.equals(STORE) && refused.contains(from)) {
            then.accept(SimulatedStore.reply(503, Json.object().put("error", "trouble")));
        } else if (to.equals(STORE)) {
            store.handle(call, now, reply -> {
                if (refused.contains(from)) {
                    // Asked before: an open watch.
                    refusedWatches
                            .computeIfAbsent(from, key -> new ArrayList<>())
                            .add(() -> then.accept(reply));
                } else {
                    then.accept(reply);
                }
            });
        } else if (to.equals(CLOUD)) {
            cloud.handle(call, now, then);
        } else if (to.startsWith("rig-")) {
            deliver(Integer.parseInt(to.substring(4)), ListenerKind.PEER, call, then);
        } else {
            SimWorker sim = workers.get(to);
            if (sim == null) {
                return;
            }
            Runnable execute = () -> {
                sim.worker.advanceTo(now);
                then.accept(
                        call.path().equals("/show")
                                ? SimulatedStore.reply(200, sim.worker.heartbeat(now))
                                : sim.worker.receiveCommands(Json.readOrNull(call.body()), now));
            };
            if (sim.hanging) {
                sim.whileHanging.add(execute);
            } else {
                execute.run();
            }
        }
    }

    // ---- workers

    private void boot(String id, String type, String zone, boolean spot) {
        SimWorker sim = new SimWorker(new SimulatedAgent(
                id, address(id), type, zone, spot, times.leaseMs(), now, this::description, invariants));
        sim.home = random.nextInt(nodes.size());
        workers.put(id, sim);
        invariants.now(() -> now);
        workerStep(sim);
    }

    private static String address(String id) {
        return "10.1.0.1:" + (10_000 + Integer.parseInt(id.substring(2)));
    }

    private void workerStep(SimWorker sim) {
        if (workers.get(sim.worker.id) != sim) {
            return;
        }
        if (sim.hanging) {
            sim.worker.expireLease(now);
        } else {
            sim.worker.advanceTo(now);
            boolean due = now - sim.lastSent >= REPORT_MS * 3 / 4 + random.nextInt((int) REPORT_MS / 2)
                    || now - sim.lastSent >= 500 && sim.worker.takeChanged();
            if (due && !sim.reporting) {
                report(sim);
            }
        }
        schedule(now + stepMs, () -> workerStep(sim));
    }

    private void report(SimWorker sim) {
        sim.reporting = true;
        sim.lastSent = now;
        long session = sim.worker.epoch();
        long sentAt = now;
        int target = sim.home;
        Call call = Call.post(
                new Endpoint("10.0.0." + (target + 1), 8080), "/hello", sim.worker.heartbeat(now), WORKER_TIMEOUT_MS);
        String name = "rig-" + target;
        boolean[] done = new boolean[1];
        Consumer<Reply> end = reply -> {
            if (!done[0]) {
                done[0] = true;
                reported(sim, reply, session, sentAt);
            }
        };
        schedule(now + WORKER_TIMEOUT_MS, () -> end.accept(Reply.lost()));
        if (!partitions.isCut(sim.worker.id, name) && !setHeartbeatsBlocked.contains(sim.worker.id)) {
            perhapsCopy(() -> deliver(target, ListenerKind.CLIENT, call, reply -> {}));
        }
        Runnable arrive = () -> deliver(target, ListenerKind.CLIENT, call, reply -> {
            if (!partitions.isCut(sim.worker.id, name) && !deaf.contains(sim.worker.id)) {
                schedule(now + 1 + link(), () -> end.accept(reply));
            }
        });
        if (setHeartbeatsBlocked.contains(sim.worker.id)) {
            schedule(now + 1, () -> end.accept(Reply.lost()));
        } else if (partitions.isCut(sim.worker.id, name)) {
            partitions.hold(sim.worker.id, NetworkPartitions.CONTROLLERS, arrive);
        } else if (nodes.get(target).node == null) {
            schedule(now + 1, () -> end.accept(Reply.lost()));
        } else {
            schedule(now + 1 + random.nextInt(3) + link(), arrive);
        }
    }

    private void reported(SimWorker sim, Reply reply, long session, long sentAt) {
        if (workers.get(sim.worker.id) != sim) {
            return;
        }
        if (reply.ok() && !sim.hanging) {
            sim.worker.receiveHeartbeatResponse(reply, session, sentAt, now);
            sim.reporting = false;
            return;
        }
        if (reply.status() == 421 && reply.json().has("home_controller")) {
            sim.home = Integer.parseInt(
                    reply.json().path("home_controller").asText().substring(4));
            schedule(now + 100, () -> sim.reporting = false);
        } else {
            sim.home = (sim.home + 1) % nodes.size();
            schedule(now + 1_000, () -> sim.reporting = false);
        }
        sim.lastSent = now - REPORT_MS * 2;
    }

    public List<String> machineIds() {
        return List.copyOf(workers.keySet());
    }

    /** Makes a machine hang, or go on. */
    public void setAgentHanging(String id, boolean on) {
        SimWorker sim = workers.get(id);
        if (sim != null) {
            sim.hanging = on;
            if (!on) {
                sim.worker.advanceTo(now);
                sim.whileHanging.forEach(Runnable::run);
                sim.whileHanging.clear();
            }
        }
    }

    /** The cloud gives notice that it takes a machine away, and takes it after so long. */
    public void reclaimMachine(String id, long noticeMs) {
        SimWorker sim = workers.get(id);
        if (sim != null) {
            sim.worker.reclaimAt(now + noticeMs);
            schedule(now + noticeMs, () -> cloud.reclaim(id, now));
        }
    }

    /**
     * A machine stops and is back at once, with a new worker and nothing on it.
     *
     * @param counting whether the new worker's sessions go on from the former one's
     */
    public void rebootMachine(String id, boolean counting) {
        SimWorker former = workers.get(id);
        if (former != null) {
            former.worker.stop();
            SimulatedAgent worker = former.worker.replacement(now, counting);
            SimWorker sim = new SimWorker(worker);
            sim.home = random.nextInt(nodes.size());
            workers.put(id, sim);
            workerStep(sim);
        }
    }

    private SimulatedAgent.Description description(String job) {
        JsonNode spec = submittedSpec.get(job);
        return spec == null
                ? null
                : new SimulatedAgent.Description(
                        spec.path("cpus").asDouble(),
                        spec.path("runtime_guess_s").asDouble(),
                        spec.path("each_longer_s").asDouble(),
                        spec.path("pull_gb").asDouble() / 2,
                        spec.path("shape").asText().equals("daemon"),
                        spec.path("bundle").asText().equals("broken"));
    }

    // ---- users

    /** A user's request to a node; ends with a reply, or with a lost one after 5 s. */
    public void sendUserRequest(int node, String method, String path, JsonNode body, Consumer<Reply> then) {
        boolean[] done = new boolean[1];
        Consumer<Reply> once = reply -> {
            if (!done[0]) {
                done[0] = true;
                then.accept(reply);
            }
        };
        schedule(now + 5_000, () -> once.accept(Reply.lost()));
        Call call = body == null
                ? Call.get(new Endpoint("10.0.0.1", 1), path, 5_000)
                : Call.post(new Endpoint("10.0.0.1", 1), path, body, 5_000);
        schedule(
                now + 1,
                () -> deliver(
                        node,
                        ListenerKind.CLIENT,
                        new Call(call.endpoint(), method, path, call.type(), call.body(), 5_000),
                        reply -> schedule(now + 1, () -> once.accept(reply))));
    }

    /** A user's request about a job, whose answer the rules watch. */
    private void ask(String id, String method, String path, JsonNode body, Consumer<Reply> then) {
        ask(anyNode(), id, method, path, body, then);
    }

    private void ask(int node, String id, String method, String path, JsonNode body, Consumer<Reply> then) {
        long asked = now;
        sendUserRequest(node, method, path, body, reply -> {
            if (reply.status() / 100 == 2 || reply.status() == 404) {
                invariants.recordResponse(id, reply, asked, now);
            }
            then.accept(reply);
        });
    }

    /** Submits until the job is accepted, then polls and perhaps aborts it, watching all answers. */
    public void submitUntilAccepted(JsonNode spec, Long abortAt) {
        String id = spec.path("id").asText();
        submittedSpec.put(id, spec);
        invariants.recordSubmission(spec);
        submitOnce(id, spec);
        if (abortAt != null) {
            schedule(abortAt, () -> cancelJob(id));
        }
    }

    private int anyNode() {
        return random.nextInt(nodes.size());
    }

    private void submitOnce(String id, JsonNode spec) {
        perhapsCopy(
                () -> ask(id, "POST", "/submissions", spec, reply -> invariants.recordRejection(id, reply.status())));
        ask(id, "POST", "/submissions", spec, reply -> {
            if (reply.status() / 100 == 2) {
                queryJob(id);
            } else {
                invariants.recordRejection(id, reply.status());
                schedule(now + 1_000, () -> submitOnce(id, spec));
            }
        });
    }

    private void queryJob(String id) {
        schedule(
                now + 2_000 + random.nextInt(1_000),
                () -> ask(id, "GET", "/submissions/" + id, null, reply -> queryJob(id)));
    }

    /** Calls a job off through one controller, once; the rules watch the answer. */
    public void cancelJob(int node, String id, Consumer<Reply> then) {
        invariants.recordCancellationRequest(id);
        ask(node, id, "POST", "/submissions/" + id + "/abort", Json.object(), then);
    }

    /** Asks one controller about a job, once; the rules watch the answer. */
    public void queryJob(int node, String id, Consumer<Reply> then) {
        ask(node, id, "GET", "/submissions/" + id, null, then);
    }

    /** Submits a job through one controller, once and perhaps again; the rules watch the answer. */
    public void submitOnce(int node, JsonNode spec, Consumer<Reply> then) {
        String id = spec.path("id").asText();
        submittedSpec.put(id, spec);
        invariants.recordSubmission(spec);
        ask(node, id, "POST", "/submissions", spec, then);
    }

    /** The description of a job that was submitted. */
    public JsonNode submittedSpec(String id) {
        return submittedSpec.get(id);
    }

    private void cancelJob(String id) {
        invariants.recordCancellationRequest(id);
        perhapsCopy(() -> ask(id, "POST", "/submissions/" + id + "/abort", Json.object(), reply -> {}));
        ask(id, "POST", "/submissions/" + id + "/abort", Json.object(), reply -> {
            if (!reply.ok()) {
                schedule(now + 1_000, () -> cancelJob(id));
            }
        });
    }
}
