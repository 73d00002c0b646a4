package io.quartzgw.simulation;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Carries an event loop's requests to a state service. Where it is lossy, a transaction may be lost on the way, to be
 * applied late, or its response may be.
 */
public final class LossyLink {
    private final EventLoop eventLoop;
    private final SimulatedStore store;
    private final SplittableRandom random;
    private final List<Call> lostTransactions = new ArrayList<>();
    private long now;

    /** @param random decides which messages get lost */
    public LossyLink(EventLoop eventLoop, SimulatedStore service, SplittableRandom random) {
        this.eventLoop = eventLoop;
        this.store = service;
        this.random = random;
        eventLoop.processBatch(List.of(), new ClockReading(now, now));
    }

    /** Lets time pass and carries requests until the event loop sends nothing more. */
    public void pass(long ms, boolean lossy) {
        now += ms;
        List<Effect> effects = eventLoop.processBatch(List.of(), new ClockReading(now, now));
        while (!effects.isEmpty()) {
            List<Command> ends = new ArrayList<>();
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    transmit(send, lossy, ends);
                }
            }
            effects = ends.isEmpty() ? List.of() : eventLoop.processBatch(ends, new ClockReading(++now, now));
        }
    }

    private void transmit(Effect.Send send, boolean lossy, List<Command> ends) {
        int fate = lossy && send.request().path().equals("/multi") ? random.nextInt(4) : 0;
        if (fate == 1) {
            lostTransactions.add(send.request());
            ends.add(new Command.CallEnded(send.call(), Reply.lost()));
            return;
        }
        // A watch gets a response when something has changed; nobody waits for it here.
        store.handle(
                send.request(),
                now,
                reply -> ends.add(new Command.CallEnded(send.call(), fate == 2 ? Reply.lost() : reply)));
    }

    /** Applies one of the lost transactions now, if there is one. */
    public void applyOneLate() {
        if (!lostTransactions.isEmpty()) {
            store.handle(lostTransactions.remove(random.nextInt(lostTransactions.size())), now, reply -> {});
        }
    }
}
