package io.quartzgw.store;

/** A token bucket that holds the tokens of one second. A temporary granted rate can be added to its base rate. */
public final class TokenBucket {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final double MS_PER_S = 1000;

    private final double baseRatePerS;
    private double grantedRatePerS;
    private long grantedUntilMs = NEVER;
    private double tokens;
    private long refilledAtMs;

    /** @param ratePerS tokens added per second, and the bucket's capacity; the bucket is full at first */
    public TokenBucket(double ratePerS, long nowMs) {
        this.baseRatePerS = ratePerS;
        this.tokens = Math.max(1, ratePerS);
        this.refilledAtMs = nowMs;
    }

    /** Adds a granted rate until the given time. It replaces the previous grant. */
    public void grant(double ratePerS, long untilMs, long nowMs) {
        refill(nowMs);
        grantedRatePerS = ratePerS;
        grantedUntilMs = untilMs;
    }

    /** The rate at the given time. */
    public double ratePerS(long nowMs) {
        return nowMs < grantedUntilMs ? baseRatePerS + grantedRatePerS : baseRatePerS;
    }

    /**
     * Milliseconds until the given number of tokens, or a full bucket if that is less, is available; 0 if it is now.
     */
    public long waitMsFor(double count, long nowMs) {
        refill(nowMs);
        double missingTokens = Math.min(count, capacity(nowMs)) - tokens;
        return missingTokens <= 0 ? 0 : (long) Math.ceil(missingTokens * MS_PER_S / ratePerS(nowMs));
    }

    /** Takes tokens. The balance becomes negative when a single request costs more than the bucket holds. */
    public void take(double count, long nowMs) {
        refill(nowMs);
        tokens -= count;
    }

    private double capacity(long nowMs) {
        return Math.max(1, ratePerS(nowMs));
    }

    private void refill(long nowMs) {
        double addedTokens = (nowMs - refilledAtMs) * baseRatePerS
                + Math.max(0, Math.min(nowMs, grantedUntilMs) - refilledAtMs) * grantedRatePerS;
        tokens = Math.min(capacity(nowMs), tokens + addedTokens / MS_PER_S);
        refilledAtMs = nowMs;
    }
}
