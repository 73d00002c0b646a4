package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.store.WriteBudgetAllocator;

/**
 * This node's share of the changes that the state service takes. Every message between controllers says how many its
 * sender wants; the leader's answers grant them, for as long as its term is confirmed. Only answers lend: the grantee
 * knows when it asked, so a late copy grants nothing for longer than it should.
 */
public final class WriteBudgetExchange {
    private static final String DEMAND_FIELD = "writes_wanted";
    private static final String GRANT_FIELD = "writes_lent";
    /** A grant outlasts one heartbeat whose message is lost. */
    private static final double GRANT_HEARTBEATS = 2.5;
    /** The part of a former demand that is still counted at the next heartbeat: bursts come again. */
    private static final double DEMAND_DECAY = 0.7;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final StoreClient store;
    private final StoreLimits limits;
    private final String member;
    private final int members;
    private final long grantMs;
    /** What is measured over a shorter time says little. */
    private final long minMeasurementMs;

    private WriteBudgetAllocator allocator;
    private long allocatorTerm;
    private double demandPerS;
    private long measuredAt;

    /**
     * @param limits what the state service takes from all controllers together
     * @param members how many controllers there are
     */
    public WriteBudgetExchange(
            EventLoop eventLoop,
            Leadership leadership,
            StoreClient store,
            StoreLimits limits,
            LeadershipTiming timing,
            String member,
            int members) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.store = store;
        this.limits = limits;
        this.member = member;
        this.members = members;
        this.grantMs = (long) (GRANT_HEARTBEATS * timing.heartbeatMs());
        this.minMeasurementMs = timing.heartbeatMs() / 2;
        this.measuredAt = eventLoop.nowMs();
    }

    /** Measures what this node wants, and grants it its own part if it leads; once a heartbeat. */
    void measureDemand() {
        long elapsed = eventLoop.nowMs() - measuredAt;
        if (elapsed < minMeasurementMs) {
            return;
        }
        measuredAt = eventLoop.nowMs();
        demandPerS = Math.max(DEMAND_DECAY * demandPerS, store.takeWriteDemand() * 1000.0 / elapsed);
        if (mayGrant()) {
            double grantedPerS = allocator.grant(member, demandPerS, eventLoop.nowMs());
            if (allocator.canGrant(eventLoop.nowMs())) {
                store.applyWriteGrant(grantedPerS, eventLoop.nowMs() + grantMs);
            }
        }
    }

    /** Adds to a message what this node wants. */
    void addDemand(ObjectNode message) {
        message.put(DEMAND_FIELD, demandPerS);
    }

    /** Adds to the answer to a member's message what the leader grants it. */
    void addGrant(String grantee, JsonNode message, ObjectNode answer) {
        if (mayGrant()) {
            double grantedPerS =
                    allocator.grant(grantee, message.path(DEMAND_FIELD).asDouble(), eventLoop.nowMs());
            if (allocator.canGrant(eventLoop.nowMs())) {
                answer.put(GRANT_FIELD, grantedPerS);
            }
        }
    }

    /** Takes what an answer lends, from the moment at which this node asked. */
    void applyGrant(JsonNode answer, long requestedAt) {
        if (answer.has(GRANT_FIELD)) {
            store.applyWriteGrant(answer.path(GRANT_FIELD).asDouble(), requestedAt + grantMs);
        }
    }

    private boolean mayGrant() {
        if (!leadership.isConfirmed()) {
            return false;
        }
        if (allocator == null || allocatorTerm != leadership.term()) {
            allocator = new WriteBudgetAllocator(limits, members, grantMs, eventLoop.nowMs());
            allocatorTerm = leadership.term();
        }
        return true;
    }
}
