package io.quartzgw.store;

/** A token bucket that holds one second's worth. Beyond its own rate it may have a lent one, which ends at its time. */
public final class RateBudget {
    private final double ownPerS;
    private double lentPerS;
    private long lentUntil = Long.MIN_VALUE / 2;
    private double tokens;
    private long filledAt;

    /** @param perS tokens added a second, and the capacity of the bucket */
    public RateBudget(double perS, long now) {
        this.ownPerS = perS;
        this.tokens = Math.max(1, perS);
        this.filledAt = now;
    }

    /** Lends a further rate until a moment, in place of the one that was lent before. */
    public void lend(double perS, long until, long now) {
        fill(now);
        lentPerS = perS;
        lentUntil = until;
    }

    /** The rate at a moment. */
    public double perS(long now) {
        return now < lentUntil ? ownPerS + lentPerS : ownPerS;
    }

    /** Milliseconds until so many tokens are there; 0 when they are. */
    public long waitFor(double count, long now) {
        fill(now);
        double missing = Math.min(count, capacity(now)) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing * 1000 / perS(now));
    }

    /** Takes tokens, down to a debt when a single request costs more than the bucket holds. */
    public void take(double count, long now) {
        fill(now);
        tokens -= count;
    }

    private double capacity(long now) {
        return Math.max(1, perS(now));
    }

    private void fill(long now) {
        double added = (now - filledAt) * ownPerS + Math.max(0, Math.min(now, lentUntil) - filledAt) * lentPerS;
        tokens = Math.min(capacity(now), tokens + added / 1000);
        filledAt = now;
    }
}
