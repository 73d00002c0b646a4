package io.quartzgw.simulation;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Transmits an event loop's requests to the simulated state service. In lossy mode a transaction may be lost, to be
 * applied later by {@link #applyLostTransaction}, or its response may be lost.
 */
public final class LossyLink {
    private final EventLoop eventLoop;
    private final SimulatedStore store;
    private final SplittableRandom random;
    private final List<Call> lostTransactions = new ArrayList<>();
    private int transactionsUntilOutage = Integer.MAX_VALUE;
    private long now;

    /** @param random decides which messages are lost */
    public LossyLink(EventLoop eventLoop, SimulatedStore store, SplittableRandom random) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.random = random;
        eventLoop.processBatch(List.of(), new ClockReading(now, now));
    }

    /** Advances the clock, and transmits requests until the event loop sends no more. */
    public void advance(long ms, boolean lossy) {
        now += ms;
        List<Effect> effects = eventLoop.processBatch(List.of(), new ClockReading(now, now));
        while (!effects.isEmpty()) {
            List<LoopEvent> endedCalls = new ArrayList<>();
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    transmit(send, lossy, endedCalls);
                }
            }
            effects =
                    endedCalls.isEmpty() ? List.of() : eventLoop.processBatch(endedCalls, new ClockReading(++now, now));
        }
    }

    /** Rejects all transactions after the given number of further ones. */
    public void limitTransactions(int count) {
        transactionsUntilOutage = count;
    }

    private void transmit(Effect.Send send, boolean lossy, List<LoopEvent> endedCalls) {
        if (send.request().path().equals("/multi") && transactionsUntilOutage-- <= 0) {
            endedCalls.add(new LoopEvent.CallEnded(send.call(), SimulatedStore.unavailable()));
            return;
        }
        int fault = lossy && send.request().path().equals("/multi") ? random.nextInt(4) : 0;
        if (fault == 1) {
            lostTransactions.add(send.request());
            endedCalls.add(new LoopEvent.CallEnded(send.call(), Reply.unanswered()));
            return;
        }
        // A watch gets its response after a change; one that comes after this batch is ignored.
        store.handle(
                send.request(),
                now,
                reply -> endedCalls.add(new LoopEvent.CallEnded(send.call(), fault == 2 ? Reply.unanswered() : reply)));
    }

    /** Applies one of the lost transactions, if there is any. */
    public void applyLostTransaction() {
        if (!lostTransactions.isEmpty()) {
            store.handle(lostTransactions.remove(random.nextInt(lostTransactions.size())), now, reply -> {});
        }
    }
}
