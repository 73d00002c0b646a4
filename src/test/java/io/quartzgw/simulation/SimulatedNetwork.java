package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The network between controllers, agents, state service and cloud, with its faults. Without a fault a message takes 1
 * to 3 ms. A sender hears of a request that gets no response in time as lost, whether or not it is carried out.
 */
public final class SimulatedNetwork {
    private static final int BASE_SPREAD_MS = 3;
    private static final int HEAL_SPREAD_MS = 20;
    private static final int MIN_DUPLICATE_DELAY_MS = 1_000;
    /** A duplicate comes by up to so many leases late. */
    private static final int MAX_DUPLICATE_DELAY_LEASES = 3;

    private static final int MIN_TRANSACTION_DELAY_MS = 2_000;
    private static final int TRANSACTION_DELAY_SPREAD_MS = 20_000;
    private static final String TRANSACTION_PATH = "/multi";
    private static final String COMMANDS_PATH = "/orders";

    private final EventQueue events;
    private final SplittableRandom random;
    private final long leaseMs;
    private final RequestHandler handler;
    private final CommandDelays commandDelays;
    private final NetworkPartitions partitions = new NetworkPartitions();
    private final Set<String> inboundBlocked = new HashSet<>();
    private final Set<String> heartbeatsBlocked = new HashSet<>();
    /** By machine whose direct calls are held back, those calls in the order in which they were sent. */
    private final Map<String, List<DelayedCall>> delayedCalls = new HashMap<>();

    private double delayedTransactionShare;
    private double lostTransactionResponseShare;
    private double duplicateShare;
    private long maxStoreDelayMs;
    private long maxLinkDelayMs;

    /** What receives requests on behalf of all hosts. */
    interface RequestHandler {
        void handle(String from, String to, Call call, Consumer<Reply> onReply);
    }

    /** A direct call that is held back, and what delivers it. */
    private record DelayedCall(Call call, Runnable arrival) {}

    /** What was drawn for one request: its delays, and whether its response gets lost. */
    private record Transit(boolean transactionDelayed, boolean responseLost, long requestMs, long responseMs) {}

    SimulatedNetwork(SimulationContext context, RequestHandler handler) {
        this.events = context.events();
        this.random = context.random();
        this.leaseMs = context.timing().leaseMs();
        this.handler = handler;
        this.commandDelays = new CommandDelays(random);
    }

    // ---- faults

    /** Partitions two hosts, or one from all with {@link Hosts#ALL}; packets between them are held back. */
    public void partition(String one, String other) {
        partitions.partition(one, other);
    }

    /** Heals a partition, and delivers the packets that were held back by any partition. */
    public void heal(String one, String other) {
        partitions.heal(one, other).forEach(packet -> events.scheduleAfter(1 + random.nextInt(HEAL_SPREAD_MS), packet));
    }

    /** Heals a partition whose packets are lost for good: both sides had given up and closed the connections. */
    public void healDroppingPackets(String one, String other) {
        partitions.healDroppingPackets(one, other);
    }

    /** Sets the share of transactions that the state service carries out by seconds late. */
    public void delayTransactionShare(double share) {
        delayedTransactionShare = share;
    }

    /** Sets the share of transactions that are carried out at once and whose response is lost. */
    public void loseTransactionResponses(double share) {
        lostTransactionResponseShare = share;
    }

    /** Sets the longest additional time that the state service takes for a response. */
    public void delayStoreUpTo(long maxMs) {
        maxStoreDelayMs = maxMs;
    }

    /** Sets the longest additional time that messages between controllers and machines take, each way. */
    public void delayLinksUpTo(long maxMs) {
        maxLinkDelayMs = maxMs;
    }

    /** Sets the share of direct commands that are delayed by seconds, or whose responses are. */
    public void delayCommandShare(double share) {
        commandDelays.setDelayedShare(share);
    }

    /** Delays every direct command by up to a time, whether or not its sender still waits. */
    public void delayCommandsUpTo(long maxMs) {
        commandDelays.setMaxDelay(maxMs);
    }

    /** Holds a share of the direct commands up, each by up to a time that may be minutes. */
    public void holdUpCommandShare(double share, long maxMs) {
        commandDelays.setLongDelays(share, maxMs);
    }

    /** Sets the share of heartbeats, messages between controllers and user requests that arrive again, late. */
    public void duplicateMessageShare(double share) {
        duplicateShare = share;
    }

    /** Blocks the heartbeats of a machine: it can open no connection. Commands reach it, and are answered. */
    public void setHeartbeatsBlocked(String machine, boolean on) {
        if (on) {
            heartbeatsBlocked.add(machine);
        } else {
            heartbeatsBlocked.remove(machine);
        }
    }

    /** Blocks what is sent to a machine while its heartbeats arrive; commands are held back and arrive late. */
    public void setInboundBlocked(String machine, boolean on) {
        if (on) {
            inboundBlocked.add(machine);
        } else {
            inboundBlocked.remove(machine);
            heal(machine, Hosts.ALL);
        }
    }

    /** Holds direct calls to a machine back; heartbeats and their responses pass. */
    public void holdCommands(String machine) {
        delayedCalls.putIfAbsent(machine, new ArrayList<>());
    }

    /** Whether direct calls to a machine are held back. */
    public boolean holdsCommands(String machine) {
        return delayedCalls.containsKey(machine);
    }

    /** Delivers the direct calls to a machine that were held back, in their order, and holds none from now on. */
    public void deliverHeldCommands(String machine) {
        delayedCalls.remove(machine).forEach(command -> command.arrival.run());
    }

    /** The tasks of a job whose start is in a direct call that is held back, by the machine that it is sent to. */
    public Map<String, Set<String>> heldStarts(String job) {
        Map<String, Set<String>> starts = new TreeMap<>();
        delayedCalls.forEach((machine, commands) -> {
            Set<String> tasks = new TreeSet<>();
            commands.forEach(command -> tasks.addAll(startedTasks(command.call, job)));
            if (!tasks.isEmpty()) {
                starts.put(machine, tasks);
            }
        });
        return starts;
    }

    private static List<String> startedTasks(Call call, String job) {
        List<String> tasks = new ArrayList<>();
        if (call.path().equals(COMMANDS_PATH)) {
            for (JsonNode order : Json.readOrNull(call.body()).path("orders")) {
                String task = order.path("shard").asText();
                if (order.path("verb").asText().equals("run") && task.startsWith(job + "/")) {
                    tasks.add(task);
                }
            }
        }
        return tasks;
    }

    // ---- messages

    /** Sends a request from a controller. */
    void send(String from, Call call, Consumer<Reply> onReply) {
        String to = Hosts.nameOf(call.endpoint());
        SingleReply firstReply = new SingleReply(onReply);
        events.scheduleAfter(call.timeoutMs(), () -> firstReply.accept(Reply.lost()));
        Transit transit = drawTransit(to, call);
        if (Hosts.isController(to)) {
            maybeDuplicate(() -> handler.handle(from, to, call, reply -> {}));
        }
        Runnable arrival = () -> handler.handle(from, to, call, reply -> {
            if (!isPartitioned(from, to) && !transit.responseLost) {
                events.scheduleAfter(baseDelay() + transit.responseMs, () -> firstReply.accept(reply));
            }
        });
        if (transit.transactionDelayed) {
            events.scheduleAfter(MIN_TRANSACTION_DELAY_MS + random.nextInt(TRANSACTION_DELAY_SPREAD_MS), arrival);
        } else if (delayedCalls.containsKey(to)) {
            delayedCalls.get(to).add(new DelayedCall(call, arrival));
        } else if (isPartitioned(from, to) || isInboundBlocked(to)) {
            delayUntilHealed(from, to, arrival);
        } else {
            events.scheduleAfter(baseDelay() + transit.requestMs, arrival);
        }
    }

    private Transit drawTransit(String to, Call call) {
        boolean transaction = call.path().equals(TRANSACTION_PATH);
        boolean transactionDelayed = transaction && random.nextDouble() < delayedTransactionShare;
        boolean responseLost = lostTransactionResponseShare > 0
                && transaction
                && random.nextDouble() < lostTransactionResponseShare
                && Json.readOrNull(call.body()).has("apply");
        CommandDelays.Delay delay = call.path().equals(COMMANDS_PATH) ? commandDelays.next() : CommandDelays.Delay.NONE;
        long responseMs = delay.responseMs();
        long requestMs = delay.commandMs();
        if (to.equals(Hosts.STORE)) {
            responseMs += upTo(maxStoreDelayMs);
        } else if (Hosts.isMachine(to)) {
            responseMs += linkDelay();
            requestMs += linkDelay();
        }
        return new Transit(transactionDelayed, responseLost, requestMs, responseMs);
    }

    /** The time that a message takes without any fault. */
    long baseDelay() {
        return 1L + random.nextInt(BASE_SPREAD_MS);
    }

    /** Draws the additional time of a message between a controller and a machine. */
    long linkDelay() {
        return upTo(maxLinkDelayMs);
    }

    private long upTo(long maxMs) {
        return maxMs > 0 ? random.nextLong(maxMs) : 0;
    }

    /** Lets a message perhaps arrive again, by a second to some leases late; nobody waits for its response. */
    void maybeDuplicate(Runnable arrival) {
        if (duplicateShare > 0 && random.nextDouble() < duplicateShare) {
            events.scheduleAfter(
                    MIN_DUPLICATE_DELAY_MS + random.nextInt((int) (MAX_DUPLICATE_DELAY_LEASES * leaseMs)), arrival);
        }
    }

    boolean isPartitioned(String one, String other) {
        return partitions.isPartitioned(one, other);
    }

    boolean isInboundBlocked(String host) {
        return inboundBlocked.contains(host);
    }

    boolean areHeartbeatsBlocked(String machine) {
        return heartbeatsBlocked.contains(machine);
    }

    /** Holds a packet back until a partition heals. */
    void delayUntilHealed(String from, String to, Runnable arrival) {
        partitions.delayUntilHealed(from, to, arrival);
    }
}
