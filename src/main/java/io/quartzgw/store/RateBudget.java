package io.quartzgw.store;

/** A token bucket that holds one second's worth. */
public final class RateBudget {
    private final double perMs;
    private final double capacity;
    private double tokens;
    private long filledAt;

    /** @param perS tokens added a second, and the capacity of the bucket */
    public RateBudget(double perS, long now) {
        this.perMs = perS / 1000;
        this.capacity = Math.max(1, perS);
        this.tokens = capacity;
        this.filledAt = now;
    }

    /** Milliseconds until so many tokens are there; 0 when they are. */
    public long waitFor(double count, long now) {
        fill(now);
        double missing = Math.min(count, capacity) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perMs);
    }

    /** Takes tokens, down to a debt when a single request costs more than the bucket holds. */
    public void take(double count, long now) {
        fill(now);
        tokens -= count;
    }

    private void fill(long now) {
        tokens = Math.min(capacity, tokens + (now - filledAt) * perMs);
        filledAt = now;
    }
}
