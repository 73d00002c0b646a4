package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Revokes the lease of an unresponsive leader whose lease does not expire because of outages of the state service. The
 * election that follows is an ordinary one.
 *
 * <p>The deposed leader may consider itself confirmed until its lease would have expired, so the next leader must not
 * count as confirmed for the duration of a lease. For this reason the deposition is recorded in the store before the
 * lease is revoked. Every election requires the revision of this record, so the next leader has read it.
 */
final class LeaderDeposition {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderDeposition.class);
    /** The next leader is not deposed for this many leases after a deposition, even if it is unresponsive. */
    private static final int COOLDOWN_LEASES = 5;
    /** The delay is short, since the state service may respond only briefly during an outage. */
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

    /** Records when any controller deposed a leader. To be called when the election keys have changed. */
    void recordDepositions() {
        if (state.deposedTerm() != deposedTerm) {
            deposedTerm = state.deposedTerm();
            deposedAtMs = eventLoop.nowMs();
        }
    }

    /**
     * Deposes a leader, unless another leader was deposed recently. Failed attempts are retried for one heartbeat
     * interval only, since the leader may have become responsive after that.
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
                    .log("unresponsive leader deposed");
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
