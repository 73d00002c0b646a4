package io.quartzgw.simulation;

import java.util.SplittableRandom;

/** How long direct orders and their answers are on their way, beyond what the link takes. */
final class CommandDelays {
    private static final int LEAST_HELD_MS = 1_000;
    private static final int HELD_SPREAD_MS = 8_000;

    private final SplittableRandom random;
    private double heldShare;
    private long mostMs;

    /** How much later an order arrives, and how much later its answer does. */
    record Delay(long orderMs, long answerMs) {
        static final Delay NONE = new Delay(0, 0);
    }

    CommandDelays(SplittableRandom random) {
        this.random = random;
    }

    /** Holds that share of the orders, or of their answers, up for seconds. */
    void held(double share) {
        heldShare = share;
    }

    /** Delays every order by up to so long; half of them by less than an eighth of it. */
    void upTo(long ms) {
        mostMs = ms;
    }

    /** The delay of the next order. */
    Delay next() {
        if (mostMs > 0) {
            double part = random.nextDouble();
            return new Delay((long) (mostMs * part * part * part), 0);
        }
        if (heldShare > 0 && random.nextDouble() < heldShare) {
            long heldMs = LEAST_HELD_MS + random.nextInt(HELD_SPREAD_MS);
            return random.nextBoolean() ? new Delay(0, heldMs) : new Delay(heldMs, 0);
        }
        return Delay.NONE;
    }
}
