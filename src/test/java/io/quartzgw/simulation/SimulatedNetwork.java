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
 * to 3 ms. A request that gets no response within its timeout is reported to its sender as lost, whether or not the
 * receiver handles it.
 */
public final class SimulatedNetwork {
    private static final int BASE_SPREAD_MS = 3;
    private static final int HEAL_SPREAD_MS = 20;
    private static final int MIN_DUPLICATE_DELAY_MS = 1_000;
    /** The longest additional delay of a duplicate, in agent leases. */
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
    private final CommandCopies commandCopies;
    private final NetworkPartitions partitions = new NetworkPartitions();
    private final Set<String> inboundBlocked = new HashSet<>();
    private final Set<String> heartbeatsBlocked = new HashSet<>();
    /** Delayed direct calls in the order sent, by the machine whose direct calls are delayed. */
    private final Map<String, List<DelayedCall>> delayedCalls = new HashMap<>();

    private double delayedTransactionShare;
    private double lostTransactionResponseShare;
    private double duplicateShare;
    private long maxStoreDelayMs;
    private long maxLinkDelayMs;

    /** Handles the requests that arrive at any host. */
    interface RequestHandler {
        void handle(String from, String to, Call call, Consumer<Reply> onReply);
    }

    /** A delayed direct call, and the action that delivers it. */
    private record DelayedCall(Call call, Runnable arrival) {}

    /** The randomly drawn faults of one request: its delays, and whether its response is lost. */
    private record Transit(boolean transactionDelayed, boolean responseLost, long requestMs, long responseMs) {}

    SimulatedNetwork(SimulationContext context, RequestHandler handler) {
        this.events = context.events();
        this.random = context.random();
        this.leaseMs = context.timing().leaseMs();
        this.handler = handler;
        this.commandDelays = new CommandDelays(random);
        this.commandCopies = new CommandCopies(events, random, leaseMs);
    }

    // ---- faults

    /** Partitions two hosts, or one from all others with {@link Hosts#ALL}; packets between them are delayed. */
    public void partition(String one, String other) {
        partitions.partition(one, other);
    }

    /** Heals a partition, and delivers the packets delayed by any partition. */
    public void heal(String one, String other) {
        partitions.heal(one, other).forEach(packet -> events.scheduleAfter(1 + random.nextInt(HEAL_SPREAD_MS), packet));
    }

    /** Heals a partition and drops its packets, as if both sides had timed out and closed the connections. */
    public void healDroppingPackets(String one, String other) {
        partitions.healDroppingPackets(one, other);
    }

    /** Sets the share of transactions that reach the state service seconds late. */
    public void delayTransactionShare(double share) {
        delayedTransactionShare = share;
    }

    /** Sets the share of transactions that are applied without delay and whose response is lost. */
    public void loseTransactionResponses(double share) {
        lostTransactionResponseShare = share;
    }

    /** Sets the maximum additional delay of responses from the state service. */
    public void delayStoreUpTo(long maxMs) {
        maxStoreDelayMs = maxMs;
    }

    /** Sets the maximum additional delay of messages between controllers and machines, in each direction. */
    public void delayLinksUpTo(long maxMs) {
        maxLinkDelayMs = maxMs;
    }

    /** Sets the share of direct calls that are delayed by seconds, either the request or the response. */
    public void delayCommandShare(double share) {
        commandDelays.setDelayedShare(share);
    }

    /** Delays every direct call by up to the given time, which may exceed the sender's timeout. */
    public void delayCommandsUpTo(long maxMs) {
        commandDelays.setMaxDelay(maxMs);
    }

    /** Delays a share of the direct calls by up to the given time, which may be minutes. */
    public void delayCommandShareUpTo(double share, long maxMs) {
        commandDelays.setLongDelays(share, maxMs);
    }

    /** Sets the share of heartbeats, messages between controllers and user requests that are duplicated. */
    public void duplicateMessageShare(double share) {
        duplicateShare = share;
    }

    /** The copies of direct calls that arrive again after they were handled. */
    public CommandCopies commandCopies() {
        return commandCopies;
    }

    /** Blocks the heartbeats of a machine, which can open no connections. Direct calls still work both ways. */
    public void setHeartbeatsBlocked(String machine, boolean on) {
        if (on) {
            heartbeatsBlocked.add(machine);
        } else {
            heartbeatsBlocked.remove(machine);
        }
    }

    /** Blocks a machine's inbound traffic while its heartbeats arrive; direct calls are delayed until it ends. */
    public void setInboundBlocked(String machine, boolean on) {
        if (on) {
            inboundBlocked.add(machine);
        } else {
            inboundBlocked.remove(machine);
            heal(machine, Hosts.ALL);
        }
    }

    /** Delays direct calls to a machine until {@link #deliverDelayedCommands}; heartbeats and their responses pass. */
    public void delayCommandsTo(String machine) {
        delayedCalls.putIfAbsent(machine, new ArrayList<>());
    }

    /** Whether direct calls to a machine are delayed. */
    public boolean isDelayingCommandsTo(String machine) {
        return delayedCalls.containsKey(machine);
    }

    /** Delivers the delayed direct calls to a machine in the order sent, and delays none from now on. */
    public void deliverDelayedCommands(String machine) {
        delayedCalls.remove(machine).forEach(delayed -> delayed.arrival.run());
    }

    /** The tasks of a job whose start command is in a delayed direct call, by the machine that the call is sent to. */
    public Map<String, Set<String>> delayedStarts(String job) {
        Map<String, Set<String>> starts = new TreeMap<>();
        delayedCalls.forEach((machine, calls) -> {
            Set<String> tasks = new TreeSet<>();
            calls.forEach(delayed -> tasks.addAll(startedTasks(delayed.call, job)));
            if (!tasks.isEmpty()) {
                starts.put(machine, tasks);
            }
        });
        return starts;
    }

    private static List<String> startedTasks(Call call, String job) {
        List<String> tasks = new ArrayList<>();
        if (call.path().equals(COMMANDS_PATH)) {
            for (JsonNode command : Json.readOrNull(call.body()).path("orders")) {
                String task = command.path("shard").asText();
                if (command.path("verb").asText().equals("run") && task.startsWith(job + "/")) {
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
        events.scheduleAfter(call.timeoutMs(), () -> firstReply.accept(Reply.unanswered()));
        Transit transit = drawTransit(to, call);
        if (Hosts.isController(to)) {
            maybeDuplicate(() -> handler.handle(from, to, call, reply -> {}));
        }
        Runnable arrival = () -> {
            handler.handle(from, to, call, reply -> {
                if (!isPartitioned(from, to) && !transit.responseLost) {
                    events.scheduleAfter(baseDelay() + transit.responseMs, () -> firstReply.accept(reply));
                }
            });
            if (call.path().equals(COMMANDS_PATH)) {
                commandCopies.commandArrived(() -> handler.handle(from, to, call, reply -> {}));
            }
        };
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

    /** Draws the delay of a message without faults. */
    long baseDelay() {
        return 1L + random.nextInt(BASE_SPREAD_MS);
    }

    /** Draws the additional delay of a message between a controller and a machine. */
    long linkDelay() {
        return upTo(maxLinkDelayMs);
    }

    private long upTo(long maxMs) {
        return maxMs > 0 ? random.nextLong(maxMs) : 0;
    }

    /** Delivers duplicates of a share of messages, from 1 s to several leases late; responses to them are ignored. */
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

    /** Delays a packet until a partition is healed. */
    void delayUntilHealed(String from, String to, Runnable arrival) {
        partitions.delayUntilHealed(from, to, arrival);
    }
}
