package io.quartzgw.store;

/**
 * A token bucket that holds one second's worth. Beyond its own rate it may have a granted one, which ends at its time.
 */
public final class TokenBucket {
    private final double ownRatePerS;
    private double grantedRatePerS;
    private long grantedUntil = Long.MIN_VALUE / 2;
    private double tokens;
    private long refilledAt;

    /** @param ratePerS tokens added a second, and the capacity of the bucket */
    public TokenBucket(double perS, long now) {
        this.ownRatePerS = perS;
        this.tokens = Math.max(1, perS);
        this.refilledAt = now;
    }

    /** Grants a further rate until a moment, in place of the one that was granted before. */
    public void grant(double perS, long until, long now) {
        refill(now);
        grantedRatePerS = perS;
        grantedUntil = until;
    }

    /** The rate at a moment. */
    public double ratePerS(long now) {
        return now < grantedUntil ? ownRatePerS + grantedRatePerS : ownRatePerS;
    }

    /** Milliseconds until so many tokens are there; 0 when they are. */
    public long waitMsFor(double count, long now) {
        refill(now);
        double missing = Math.min(count, capacity(now)) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing * 1000 / ratePerS(now));
    }

    /** Takes tokens, down to a debt when a single request costs more than the bucket holds. */
    public void take(double count, long now) {
        refill(now);
        tokens -= count;
    }

    private double capacity(long now) {
        return Math.max(1, ratePerS(now));
    }

    private void refill(long now) {
        double added = (now - refilledAt) * ownRatePerS
                + Math.max(0, Math.min(now, grantedUntil) - refilledAt) * grantedRatePerS;
        tokens = Math.min(capacity(now), tokens + added / 1000);
        refilledAt = now;
    }
}
