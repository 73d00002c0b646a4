package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.loop.Kernel;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.store.WriteGrants;

/**
 * This node's share of the changes that the state service takes. Every message between controllers says how many its
 * sender wants; the leader's answers lend them, for as long as its term is confirmed. Only answers lend: the borrower
 * knows when it asked, so a late copy lends nothing for longer than it should.
 */
public final class WriteShares {
    private static final String WANTED = "writes_wanted";
    private static final String LENT = "writes_lent";
    /** A loan outlasts one heartbeat whose message is lost. */
    private static final double LIFE_HEARTBEATS = 2.5;
    /** The part of a former demand that is still counted at the next heartbeat: bursts come again. */
    private static final double REMEMBERED = 0.7;

    private final Kernel kernel;
    private final Leadership leadership;
    private final StoreClient store;
    private final StoreLimits limits;
    private final String member;
    private final int members;
    private final long lifeMs;
    /** What is measured over a shorter time says little. */
    private final long shortestMs;

    private WriteGrants grants;
    private long grantsTerm;
    private double wantedPerS;
    private long measuredAt;

    /**
     * @param limits what the state service takes from all controllers together
     * @param members how many controllers there are
     */
    public WriteShares(
            Kernel kernel,
            Leadership leadership,
            StoreClient store,
            StoreLimits limits,
            LeadershipTimes times,
            String member,
            int members) {
        this.kernel = kernel;
        this.leadership = leadership;
        this.store = store;
        this.limits = limits;
        this.member = member;
        this.members = members;
        this.lifeMs = (long) (LIFE_HEARTBEATS * times.heartbeatMs());
        this.shortestMs = times.heartbeatMs() / 2;
        this.measuredAt = kernel.now();
    }

    /** Measures what this node wants, and lends it its own part if it leads; once a heartbeat. */
    void beat() {
        long elapsed = kernel.now() - measuredAt;
        if (elapsed < shortestMs) {
            return;
        }
        measuredAt = kernel.now();
        wantedPerS = Math.max(REMEMBERED * wantedPerS, store.takeWantedWrites() * 1000.0 / elapsed);
        if (leading()) {
            double lent = grants.lend(member, wantedPerS, kernel.now());
            if (grants.lends(kernel.now())) {
                store.lendWrites(lent, kernel.now() + lifeMs);
            }
        }
    }

    /** Adds to a message what this node wants. */
    void ask(ObjectNode message) {
        message.put(WANTED, wantedPerS);
    }

    /** Adds to the answer to a member's message what the leader lends it. */
    void answer(String asking, JsonNode message, ObjectNode answer) {
        if (leading()) {
            double lent = grants.lend(asking, message.path(WANTED).asDouble(), kernel.now());
            if (grants.lends(kernel.now())) {
                answer.put(LENT, lent);
            }
        }
    }

    /** Takes what an answer lends, from the moment at which this node asked. */
    void take(JsonNode answer, long asked) {
        if (answer.has(LENT)) {
            store.lendWrites(answer.path(LENT).asDouble(), asked + lifeMs);
        }
    }

    private boolean leading() {
        if (!leadership.confirmed()) {
            return false;
        }
        if (grants == null || grantsTerm != leadership.term()) {
            grants = new WriteGrants(limits, members, lifeMs, kernel.now());
            grantsTerm = leadership.term();
        }
        return true;
    }
}
