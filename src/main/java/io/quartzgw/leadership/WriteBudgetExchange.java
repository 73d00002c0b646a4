package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.store.WriteBudgetAllocator;
import java.util.Optional;

/**
 * This controller's grants of the state store's write budget. Every message between controllers has the sender's
 * demand; the leader's answers grant part of the budget, while its term is confirmed. Only answers grant: the receiver
 * knows when it asked, so a late copy grants nothing for longer than it should.
 */
public final class WriteBudgetExchange {
    /** A grant outlasts one heartbeat whose message is lost. */
    private static final double GRANT_HEARTBEATS = 2.5;
    /** The part of a former demand that is still counted at the next heartbeat: bursts come again. */
    private static final double DEMAND_DECAY = 0.7;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final StoreClient store;
    private final StoreLimits limits;
    private final String member;
    private final int controllerCount;
    private final long grantDurationMs;
    /** A demand is not measured over less than this. */
    private final long minMeasurementIntervalMs;

    /** The allocator of the term that this controller last led with. */
    private Optional<TermAllocator> termAllocator = Optional.empty();

    private double demandPerS;
    private long measuredAtMs;

    /** The allocator of one term: a new term begins without grants. */
    private record TermAllocator(long term, WriteBudgetAllocator allocator) {}

    /**
     * @param limits the state store's limits for all controllers together
     * @param controllerCount how many controllers there are
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

    /** Measures this controller's demand, and grants it its own part if it leads; once a heartbeat. */
    void measureDemand() {
        long elapsedMs = eventLoop.nowMs() - measuredAtMs;
        if (elapsedMs < minMeasurementIntervalMs) {
            return;
        }
        measuredAtMs = eventLoop.nowMs();
        demandPerS = Math.max(DEMAND_DECAY * demandPerS, store.takeWriteDemand() * 1000.0 / elapsedMs);
        grantTo(member, demandPerS).ifPresent(writesPerS -> applyGrant(writesPerS, eventLoop.nowMs()));
    }

    /** How many writes a second this controller wants to make. */
    double demandPerS() {
        return demandPerS;
    }

    /** How many writes a second this controller grants to a member, if it may grant any now; records the demand. */
    Optional<Double> grantTo(String grantee, double granteeDemandPerS) {
        return allocator().flatMap(allocator -> allocator.grant(grantee, granteeDemandPerS, eventLoop.nowMs()));
    }

    /** Applies a grant, which counts from the moment at which this controller asked. */
    void applyGrant(double writesPerS, long requestedAtMs) {
        store.applyWriteGrant(writesPerS, requestedAtMs + grantDurationMs);
    }

    /** The allocator of the current term, if that is confirmed. */
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
