package io.quartzgw.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Copies of direct calls that arrive at their machines again after the call was handled and answered. The responses to
 * them are ignored.
 */
public final class CommandCopies {
    private static final int MIN_DELAY_MS = 1_000;
    /** The longest additional delay of a copy, in agent leases. */
    private static final int MAX_DELAY_LEASES = 3;

    private final EventQueue events;
    private final SplittableRandom random;
    private final int delaySpreadMs;
    /** Deliveries of one copy of each direct call, in the order in which the calls were handled. */
    private final List<Runnable> kept = new ArrayList<>();

    private boolean keeping;
    private double randomShare;

    CommandCopies(EventQueue events, SplittableRandom random, long leaseMs) {
        this.events = events;
        this.random = random;
        this.delaySpreadMs = (int) (MAX_DELAY_LEASES * leaseMs);
    }

    /** Delivers copies of a share of the direct calls, from one second to several leases late. */
    public void deliverShare(double share) {
        randomShare = share;
    }

    /** Keeps a copy of each direct call from now on, for {@link #deliverKept}. */
    public void keepAll() {
        keeping = true;
    }

    /** Delivers all copies that were kept, in the order of the calls; the copies stay available. */
    public void deliverKept() {
        List.copyOf(kept).forEach(Runnable::run);
    }

    /**
     * Handles the arrival of a direct call.
     *
     * @param delivery delivers a copy of the call
     */
    void commandArrived(Runnable delivery) {
        if (keeping) {
            kept.add(delivery);
        }
        if (randomShare > 0 && random.nextDouble() < randomShare) {
            events.scheduleAfter(MIN_DELAY_MS + random.nextInt(delaySpreadMs), delivery);
        }
    }
}
