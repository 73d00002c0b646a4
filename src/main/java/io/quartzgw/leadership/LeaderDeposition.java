package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the lease of a leader that neither answers nor ends, when the state store's outages keep that lease alive; then
 * a leader is elected as usual.
 *
 * <p>The deposed leader may count itself confirmed until its lease would have ended, so its successor must hold back
 * for a lease. That is why the store has a record of the deposition before the lease ends: whoever is elected next has
 * seen it, since every election requires its revision.
 */
final class LeaderDeposition {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderDeposition.class);
    /** For so many leases after a deposition the next leader is not deposed, whatever is heard of it. */
    private static final int COOLDOWN_LEASES = 5;
    /** The state store may answer for a moment only. */
    private static final int RETRY_DELAY_MS = 250;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final ElectionState state;
    private final long cooldownMs;
    private final long retryPeriodMs;
    private long deposedTerm;
    private long deposedAtMs;
    private boolean inProgress;

    LeaderDeposition(EventLoop eventLoop, StoreClient store, ElectionState state, LeadershipTiming timing) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.state = state;
        this.cooldownMs = COOLDOWN_LEASES * timing.leaseMs();
        this.retryPeriodMs = timing.heartbeatMs();
    }

    /** Notices depositions by any controller; to be called when the election keys have changed. */
    void recordDepositions() {
        if (state.deposedTerm() != deposedTerm) {
            deposedTerm = state.deposedTerm();
            deposedAtMs = eventLoop.nowMs();
        }
    }

    /**
     * Deposes a leader, unless another one was deposed a short time ago; tries for the interval between two heartbeats,
     * after which the leader may have been heard again.
     */
    void depose(LeaderRecord leader) {
        boolean inCooldown =
                deposedTerm > 0 && deposedTerm != leader.term() && eventLoop.nowMs() - deposedAtMs < cooldownMs;
        if (!inProgress && !inCooldown) {
            attempt(leader, eventLoop.nowMs() + retryPeriodMs);
        }
    }

    private void attempt(LeaderRecord leader, long deadlineMs) {
        inProgress = true;
        Transaction record = new Transaction()
                .require(Leadership.LEADER_KEY, state.leaderRevision())
                .require(Leadership.TERM_KEY, state.termRevision())
                .put(Leadership.DEPOSED_KEY, LeaderRecordCodec.encodeTerm(leader.term()));
        store.commit(record, RequestUrgency.ELECTION, outcome -> onOutcome(leader, deadlineMs, outcome));
    }

    private void onOutcome(LeaderRecord leader, long deadlineMs, TransactionOutcome outcome) {
        inProgress = false;
        if (outcome instanceof TransactionOutcome.Committed) {
            eventLoop.increment("leadership.depositions", 1);
            LOG.atInfo()
                    .addKeyValue("member", leader.member())
                    .addKeyValue("term", leader.term())
                    .log("silent leader deposed");
            store.revokeLease(leader.leaseId());
        } else if (eventLoop.nowMs() + RETRY_DELAY_MS < deadlineMs) {
            eventLoop.after(RETRY_DELAY_MS, () -> retry(leader, deadlineMs));
        }
    }

    private void retry(LeaderRecord leader, long deadlineMs) {
        if (!inProgress && state.leader().filter(leader::equals).isPresent()) {
            attempt(leader, deadlineMs);
        }
    }
}
