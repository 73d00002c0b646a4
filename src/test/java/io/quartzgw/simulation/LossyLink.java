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
 * Carries a kernel's calls to a state service. Where it is lossy, a transaction may be lost on the way, to be applied
 * late, or its answer may be.
 */
public final class LossyLink {
    private final EventLoop kernel;
    private final SimulatedStore service;
    private final SplittableRandom random;
    private final List<Call> late = new ArrayList<>();
    private long now;

    /** @param random decides which messages get lost */
    public LossyLink(EventLoop kernel, SimulatedStore service, SplittableRandom random) {
        this.kernel = kernel;
        this.service = service;
        this.random = random;
        kernel.processBatch(List.of(), new ClockReading(now, now));
    }

    /** Lets time pass and carries calls until the kernel sends nothing more. */
    public void pass(long ms, boolean lossy) {
        now += ms;
        List<Effect> effects = kernel.processBatch(List.of(), new ClockReading(now, now));
        while (!effects.isEmpty()) {
            List<Command> ends = new ArrayList<>();
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    carry(send, lossy, ends);
                }
            }
            effects = ends.isEmpty() ? List.of() : kernel.processBatch(ends, new ClockReading(++now, now));
        }
    }

    private void carry(Effect.Send send, boolean lossy, List<Command> ends) {
        int fate = lossy && send.request().path().equals("/multi") ? random.nextInt(4) : 0;
        if (fate == 1) {
            late.add(send.request());
            ends.add(new Command.CallEnded(send.call(), Reply.lost()));
            return;
        }
        // A follow is answered when something has changed, and is never waited for here.
        service.handle(
                send.request(),
                now,
                reply -> ends.add(new Command.CallEnded(send.call(), fate == 2 ? Reply.lost() : reply)));
    }

    /** Applies one of the lost transactions now, if there is one. */
    public void applyOneLate() {
        if (!late.isEmpty()) {
            service.handle(late.remove(random.nextInt(late.size())), now, reply -> {});
        }
    }
}
