package io.quartzgw.simulation;

import java.util.SplittableRandom;

/** The additional delays of direct commands and of their responses. */
final class CommandDelays {
    private static final int MIN_DELAY_MS = 1_000;
    private static final int DELAY_SPREAD_MS = 8_000;

    private final SplittableRandom random;
    private double delayedShare;
    private long maxDelayMs;
    private double longDelayShare;
    private long maxLongDelayMs;

    /** How much later a command arrives, and how much later its response does. */
    record Delay(long commandMs, long responseMs) {
        static final Delay NONE = new Delay(0, 0);
    }

    CommandDelays(SplittableRandom random) {
        this.random = random;
    }

    /** Delays a share of the commands, or of their responses, by seconds. */
    void setDelayedShare(double share) {
        delayedShare = share;
    }

    /** Delays every command by up to a time; half of them by less than an eighth of it. */
    void setMaxDelay(long ms) {
        maxDelayMs = ms;
    }

    /** Delays a share of the commands by up to a time, however long, before any other delay is drawn. */
    void setLongDelays(double share, long maxMs) {
        longDelayShare = share;
        maxLongDelayMs = maxMs;
    }

    /** Draws the delay of the next command. */
    Delay next() {
        if (longDelayShare > 0 && random.nextDouble() < longDelayShare) {
            return new Delay(MIN_DELAY_MS + random.nextLong(maxLongDelayMs), 0);
        }
        if (maxDelayMs > 0) {
            double part = random.nextDouble();
            return new Delay((long) (maxDelayMs * part * part * part), 0);
        }
        if (delayedShare > 0 && random.nextDouble() < delayedShare) {
            long delayMs = (long) MIN_DELAY_MS + random.nextInt(DELAY_SPREAD_MS);
            return random.nextBoolean() ? new Delay(0, delayMs) : new Delay(delayMs, 0);
        }
        return Delay.NONE;
    }
}
