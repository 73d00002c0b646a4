package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.store.WriteBudgetLender;

/**
 * This node's share of the changes that the state service takes. Every message between controllers says how many its
 * sender wants; the leader's answers lend them, for as long as its term is confirmed. Only answers lend: the borrower
 * knows when it asked, so a late copy lends nothing for longer than it should.
 */
public final class WriteBudgetExchange {
    private static final String DEMAND_FIELD = "writes_wanted";
    private static final String GRANT_FIELD = "writes_lent";
    /** A loan outlasts one heartbeat whose message is lost. */
    private static final double GRANT_HEARTBEATS = 2.5;
    /** The part of a former demand that is still counted at the next heartbeat: bursts come again. */
    private static final double DEMAND_DECAY = 0.7;

    private final EventLoop kernel;
    private final Leadership leadership;
    private final StoreClient store;
    private final StoreLimits limits;
    private final String member;
    private final int members;
    private final long grantMs;
    /** What is measured over a shorter time says little. */
    private final long minMeasurementMs;

    private WriteBudgetLender lender;
    private long lenderTerm;
    private double demandPerS;
    private long measuredAt;

    /**
     * @param limits what the state service takes from all controllers together
     * @param members how many controllers there are
     */
    public WriteBudgetExchange(
            EventLoop kernel,
            Leadership leadership,
            StoreClient store,
            StoreLimits limits,
            LeadershipTiming times,
            String member,
            int members) {
        this.kernel = kernel;
        this.leadership = leadership;
        this.store = store;
        this.limits = limits;
        this.member = member;
        this.members = members;
        this.grantMs = (long) (GRANT_HEARTBEATS * times.heartbeatMs());
        this.minMeasurementMs = times.heartbeatMs() / 2;
        this.measuredAt = kernel.nowMs();
    }

    /** Measures what this node wants, and lends it its own part if it leads; once a heartbeat. */
    void measureDemand() {
        long elapsed = kernel.nowMs() - measuredAt;
        if (elapsed < minMeasurementMs) {
            return;
        }
        measuredAt = kernel.nowMs();
        demandPerS = Math.max(DEMAND_DECAY * demandPerS, store.takeWriteDemand() * 1000.0 / elapsed);
        if (canLend()) {
            double lent = lender.grant(member, demandPerS, kernel.nowMs());
            if (lender.canGrant(kernel.nowMs())) {
                store.borrowWrites(lent, kernel.nowMs() + grantMs);
            }
        }
    }

    /** Adds to a message what this node wants. */
    void addDemand(ObjectNode message) {
        message.put(DEMAND_FIELD, demandPerS);
    }

    /** Adds to the answer to a member's message what the leader lends it. */
    void addGrant(String borrower, JsonNode message, ObjectNode answer) {
        if (canLend()) {
            double lent = lender.grant(borrower, message.path(DEMAND_FIELD).asDouble(), kernel.nowMs());
            if (lender.canGrant(kernel.nowMs())) {
                answer.put(GRANT_FIELD, lent);
            }
        }
    }

    /** Takes what an answer lends, from the moment at which this node asked. */
    void applyGrant(JsonNode answer, long requestedAt) {
        if (answer.has(GRANT_FIELD)) {
            store.borrowWrites(answer.path(GRANT_FIELD).asDouble(), requestedAt + grantMs);
        }
    }

    private boolean canLend() {
        if (!leadership.isConfirmed()) {
            return false;
        }
        if (lender == null || lenderTerm != leadership.term()) {
            lender = new WriteBudgetLender(limits, members, grantMs, kernel.nowMs());
            lenderTerm = leadership.term();
        }
        return true;
    }
}
