package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.store.WriteBudgetAllocator;
import java.util.Optional;

/**
 * Distributes the write budget of the state service among the controllers. Every message between controllers contains
 * the sender's demand. While its term is confirmed, the leader grants parts of the budget in its responses. Grants are
 * sent in responses only, since the receiver knows when it sent the request: a delayed response does not extend the
 * grant.
 */
public final class WriteBudgetExchange {
    /** The duration of a grant in heartbeat intervals, so that it outlasts one heartbeat whose message is lost. */
    private static final double GRANT_HEARTBEATS = 2.5;
    /** The fraction of the previous demand that still counts at the next heartbeat, since bursts tend to recur. */
    private static final double DEMAND_DECAY = 0.7;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final StoreClient store;
    private final StoreLimits limits;
    private final String member;
    private final int controllerCount;
    private final long grantDurationMs;
    /** The minimum interval over which the demand is measured. */
    private final long minMeasurementIntervalMs;

    /** The allocator of the last term in which this controller was the confirmed leader. */
    private Optional<TermAllocator> termAllocator = Optional.empty();

    private double demandPerS;
    private long measuredAtMs;

    /** The allocator of one term. A new term starts without grants. */
    private record TermAllocator(long term, WriteBudgetAllocator allocator) {}

    /**
     * @param limits the limits of the state service for all controllers together
     * @param controllerCount the number of controllers
     */
    public WriteBudgetExchange(
            EventLoop eventLoop,
            Leadership leadership,
            StoreClient store,
            StoreLimits limits,
            LeadershipTiming timing,
            String member,
            int controllerCount) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.store = store;
        this.limits = limits;
        this.member = member;
        this.controllerCount = controllerCount;
        this.grantDurationMs = (long) (GRANT_HEARTBEATS * timing.heartbeatMs());
        this.minMeasurementIntervalMs = timing.heartbeatMs() / 2;
        this.measuredAtMs = eventLoop.nowMs();
    }

    /** Measures this controller's demand. A leader also grants itself its share. To be called once per heartbeat. */
    void measureDemand() {
        long elapsedMs = eventLoop.nowMs() - measuredAtMs;
        if (elapsedMs < minMeasurementIntervalMs) {
            return;
        }
        measuredAtMs = eventLoop.nowMs();
        demandPerS = Math.max(DEMAND_DECAY * demandPerS, store.takeWriteDemand() * 1000.0 / elapsedMs);
        grantTo(member, demandPerS).ifPresent(writesPerS -> applyGrant(writesPerS, eventLoop.nowMs()));
    }

    /** Returns the number of writes per second that this controller needs. */
    double demandPerS() {
        return demandPerS;
    }

    /** Records the demand of a controller and returns the writes per second granted to it, if any can be granted. */
    Optional<Double> grantTo(String grantee, double granteeDemandPerS) {
        return allocator().flatMap(allocator -> allocator.grant(grantee, granteeDemandPerS, eventLoop.nowMs()));
    }

    /** Applies a grant, whose duration counts from the time at which this controller sent the request. */
    void applyGrant(double writesPerS, long requestedAtMs) {
        store.applyWriteGrant(writesPerS, requestedAtMs + grantDurationMs);
    }

    /** Returns the allocator of the current term, if this controller is the confirmed leader. */
    private Optional<WriteBudgetAllocator> allocator() {
        if (!leadership.isConfirmed()) {
            return Optional.empty();
        }
        long term = leadership.term();
        if (termAllocator.filter(current -> current.term() == term).isEmpty()) {
            termAllocator = Optional.of(new TermAllocator(
                    term, new WriteBudgetAllocator(limits, controllerCount, grantDurationMs, eventLoop.nowMs())));
        }
        return termAllocator.map(TermAllocator::allocator);
    }
}
