package io.quartzgw.simulation;

import java.util.SplittableRandom;

/** Draws the additional delays of direct calls and of their responses. */
final class CommandDelays {
    private static final int MIN_DELAY_MS = 1_000;
    private static final int DELAY_SPREAD_MS = 8_000;

    private final SplittableRandom random;
    private double delayedShare;
    private long maxDelayMs;
    private double longDelayShare;
    private long maxLongDelayMs;

    /** The additional delay of a direct call, and that of its response. */
    record Delay(long commandMs, long responseMs) {
        static final Delay NONE = new Delay(0, 0);
    }

    CommandDelays(SplittableRandom random) {
        this.random = random;
    }

    /** Delays a share of the direct calls by seconds, either the request or the response. */
    void setDelayedShare(double share) {
        delayedShare = share;
    }

    /** Delays every direct call by up to the given time, and half of the calls by less than an eighth of it. */
    void setMaxDelay(long ms) {
        maxDelayMs = ms;
    }

    /** Delays a share of the direct calls by up to the given time; the other delays apply only to the rest. */
    void setLongDelays(double share, long maxMs) {
        longDelayShare = share;
        maxLongDelayMs = maxMs;
    }

    /** Draws the delay of the next direct call. */
    Delay next() {
        if (longDelayShare > 0 && random.nextDouble() < longDelayShare) {
            return new Delay(MIN_DELAY_MS + random.nextLong(maxLongDelayMs), 0);
        }
        if (maxDelayMs > 0) {
            double fraction = random.nextDouble();
            return new Delay((long) (maxDelayMs * fraction * fraction * fraction), 0);
        }
        if (delayedShare > 0 && random.nextDouble() < delayedShare) {
            long delayMs = (long) MIN_DELAY_MS + random.nextInt(DELAY_SPREAD_MS);
            return random.nextBoolean() ? new Delay(0, delayMs) : new Delay(delayMs, 0);
        }
        return Delay.NONE;
    }
}
