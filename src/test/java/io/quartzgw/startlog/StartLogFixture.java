package io.quartzgw.startlog;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
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
 * Successive leaders, each with its own start log, that share one state service. Transactions can be lost or delayed.
 */
final class StartLogFixture {
    static final long HEARTBEAT_MS = 2_500;
    private static final int STEP_MS = 10;
    private static final long AFTER_LEASE_EXPIRY_MS = 60_000;
    private static final Endpoint STATE_SERVICE = new Endpoint("10.2.0.1", 1);

    /** How a transaction is delivered. */
    enum Delivery {
        ANSWERED,
        LOST,
        ANSWER_LOST,
        /** Gets no response; {@link #applyDelayedTransactions} applies it. */
        LATE
    }

    final SimulatedStore stateService = new SimulatedStore();
    private final StoreLimits limits;
    private final List<Call> delayedCalls = new ArrayList<>();
    private Function<Call, Delivery> deliveryPolicy = transaction -> Delivery.ANSWERED;
    private Leader leader;
    private long nowMs;
    private int transactionCount;

    /** The process of one leader. */
    private static final class Leader {
        private final EventLoop eventLoop = new EventLoop(1);
        private final StoreClient store;
        private final Leadership leadership;
        private StartLog log;
        private LoadedStarts loadedStarts;

        Leader(StoreLimits limits) {
            store = new StoreClient(eventLoop, STATE_SERVICE, limits);
            leadership = Elections.candidate(eventLoop, store);
        }
    }

    StartLogFixture() {
        this(new StoreLimits(100_000, 100_000, 8192, 16));
    }

    StartLogFixture(StoreLimits limits) {
        this.limits = limits;
    }

    /** Kills the leader's process, elects a new leader and returns the starts that it loads from the log. */
    LoadedStarts replaceLeader() {
        nowMs += AFTER_LEASE_EXPIRY_MS;
        stateService.advanceTo(nowMs);
        leader = new Leader(limits);
        Elections.elect(leader.leadership, this::advance);
        leader.log = new StartLog(leader.eventLoop, leader.store, new LeaderTerm(leader.leadership), HEARTBEAT_MS);
        leader.store.listPrefix(StartLog.PREFIX, result -> {
            List<KeyValue> pages = ((ListResult.Listed) result).listing().entries();
            leader.loadedStarts = leader.log.load(pages);
        });
        advance(1);
        leader.eventLoop.onBatchEnd(leader.log::flush);
        advance(STEP_MS);
        return leader.loadedStarts;
    }

    StartLog log() {
        return leader.log;
    }

    /** Returns the value of a counter or gauge of the leader. */
    long counter(String name) {
        return leader.eventLoop.counters().getOrDefault(name, 0L);
    }

    /** Sets how each transaction is delivered. */
    void setDeliveryPolicy(Function<Call, Delivery> policy) {
        deliveryPolicy = policy;
    }

    /** Returns the number of transactions sent. */
    int transactionCount() {
        return transactionCount;
    }

    /** Applies the delayed transactions; their responses are lost. */
    void applyDelayedTransactions() {
        List<Call> arriving = List.copyOf(delayedCalls);
        delayedCalls.clear();
        arriving.forEach(call -> stateService.handle(call, nowMs, reply -> {}));
    }

    /** Advances the time; unanswered calls end at their timeout. */
    void advance(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs += Math.min(STEP_MS, end - nowMs);
            stateService.advanceTo(nowMs);
            processEffects(leader.eventLoop.processBatch(List.of(), clockReading()));
        }
    }

    /** Runs an action as part of an event loop batch and delivers the requests that it sends. */
    void runInBatch(Runnable action) {
        leader.eventLoop.afterEvents(action);
        processEffects(leader.eventLoop.processBatch(List.of(), clockReading()));
    }

    private ClockReading clockReading() {
        return new ClockReading(nowMs, nowMs);
    }

    private void processEffects(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<LoopEvent> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                handleCall(send.request(), reply -> replies.add(new LoopEvent.CallEnded(send.call(), reply)));
            }
            effects = replies.isEmpty() ? List.of() : leader.eventLoop.processBatch(replies, clockReading());
        }
    }

    private void handleCall(Call call, Consumer<Reply> onReply) {
        Delivery delivery = call.path().equals("/multi") ? deliveryPolicy.apply(call) : Delivery.ANSWERED;
        transactionCount += call.path().equals("/multi") ? 1 : 0;
        switch (delivery) {
            case ANSWERED -> stateService.handle(call, nowMs, onReply);
            case LOST -> onReply.accept(Reply.unanswered());
            case ANSWER_LOST -> {
                stateService.handle(call, nowMs, reply -> {});
                onReply.accept(Reply.unanswered());
            }
            default -> {
                delayedCalls.add(call);
                onReply.accept(Reply.unanswered());
            }
        }
    }
}
