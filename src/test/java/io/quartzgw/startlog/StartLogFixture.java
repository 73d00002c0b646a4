package io.quartzgw.startlog;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.ListResult;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Leaders with a log of starts each, one after the other, on one state service whose transactions may be lost or late.
 */
final class StartLogFixture {
    static final long HEARTBEAT_MS = 2_500;
    private static final int STEP_MS = 10;
    private static final long LONGER_THAN_THE_LEASE_MS = 60_000;
    private static final Endpoint STATE = new Endpoint("10.2.0.1", 1);

    /** What becomes of a transaction. */
    enum Delivery {
        ANSWERED,
        LOST,
        ANSWER_LOST,
        /** It has no answer, and is kept to be applied by {@link #applyLate}. */
        LATE
    }

    final SimulatedStore stateService = new SimulatedStore();
    private final StoreLimits limits;
    private final List<Call> late = new ArrayList<>();
    private Function<Call, Delivery> deliveries = transaction -> Delivery.ANSWERED;
    private Leader leader;
    private long now;
    private int transactions;

    /** One process that leads. */
    private static final class Leader {
        private final EventLoop eventLoop = new EventLoop(1);
        private final StoreClient store;
        private final Leadership leadership;
        private StartLog log;
        private FormerStarts formerStarts;

        Leader(StoreLimits limits) {
            store = new StoreClient(eventLoop, STATE, limits);
            leadership = Elections.candidate(eventLoop, store);
        }
    }

    StartLogFixture() {
        this(new StoreLimits(100_000, 100_000, 8192, 16));
    }

    StartLogFixture(StoreLimits limits) {
        this.limits = limits;
    }

    /** Ends the leader's process without notice, elects another one, and returns what that reads of the log. */
    FormerStarts replaceLeader() {
        now += LONGER_THAN_THE_LEASE_MS;
        stateService.advanceTo(now);
        leader = new Leader(limits);
        Elections.elect(leader.leadership, this::pass);
        leader.log = new StartLog(leader.eventLoop, leader.store, new LeaderTerm(leader.leadership), HEARTBEAT_MS);
        leader.store.listPrefix(StartLog.PREFIX, result -> {
            List<KeyValue> pages = ((ListResult.Listed) result).listing().entries();
            leader.formerStarts = leader.log.load(pages);
        });
        pass(1);
        leader.eventLoop.onBatchEnd(leader.log::flush);
        pass(STEP_MS);
        return leader.formerStarts;
    }

    StartLog log() {
        return leader.log;
    }

    /** The value of a counter or gauge of the leader. */
    long counter(String name) {
        return leader.eventLoop.counters().getOrDefault(name, 0L);
    }

    /** Sets what becomes of transactions. */
    void deliver(Function<Call, Delivery> by) {
        deliveries = by;
    }

    /** How many transactions have been sent. */
    int transactions() {
        return transactions;
    }

    /** Applies the transactions that were late; their answers are lost. */
    void applyLate() {
        List<Call> arriving = List.copyOf(late);
        late.clear();
        arriving.forEach(call -> stateService.handle(call, now, reply -> {}));
    }

    /** Lets time pass; a call without an answer ends with its time. */
    void pass(long ms) {
        for (long end = now + ms; now < end; ) {
            now += Math.min(STEP_MS, end - now);
            stateService.advanceTo(now);
            deliver(leader.eventLoop.processBatch(List.of(), time()));
        }
    }

    /** Runs an action as part of a batch, and delivers what it sends. */
    void run(Runnable action) {
        leader.eventLoop.afterCommands(action);
        deliver(leader.eventLoop.processBatch(List.of(), time()));
    }

    private ClockReading time() {
        return new ClockReading(now, now);
    }

    private void deliver(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<Command> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                serve(send.request(), reply -> replies.add(new Command.CallEnded(send.call(), reply)));
            }
            effects = replies.isEmpty() ? List.of() : leader.eventLoop.processBatch(replies, time());
        }
    }

    private void serve(Call call, Consumer<Reply> onReply) {
        Delivery delivery = call.path().equals("/multi") ? deliveries.apply(call) : Delivery.ANSWERED;
        transactions += call.path().equals("/multi") ? 1 : 0;
        switch (delivery) {
            case ANSWERED -> stateService.handle(call, now, onReply);
            case LOST -> onReply.accept(Reply.lost());
            case ANSWER_LOST -> {
                stateService.handle(call, now, reply -> {});
                onReply.accept(Reply.lost());
            }
            default -> {
                late.add(call);
                onReply.accept(Reply.lost());
            }
        }
    }
}
