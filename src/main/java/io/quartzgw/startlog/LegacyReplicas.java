package io.quartzgw.startlog;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;

/**
 * Invalidates the in-memory replicas of starts that controllers of an earlier version keep. After a failover, that
 * version reads the starts of previous leaders from a replica listed as in sync under the key {@code starts/insync}. A
 * leader of this version replicates no starts in memory. Before it sends its first start, it therefore records that no
 * replica of its own or an earlier term is in sync.
 */
final class LegacyReplicas {
    private static final String KEY = "starts/insync";
    private static final int RETRY_DELAY_MS = 250;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private boolean writeInFlight;
    private boolean invalidated;

    LegacyReplicas(EventLoop eventLoop, StoreClient store, LeaderTerm term) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
    }

    /** Returns whether the state service has recorded that no replica is in sync with this leader's starts. */
    boolean areInvalidated() {
        return invalidated;
    }

    /** Records that no replica is in sync, once per term. */
    void invalidate() {
        if (invalidated || writeInFlight) {
            return;
        }
        writeInFlight = true;
        // A delayed duplicate is applied only within this term and writes the same value.
        Transaction transaction = new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision())
                .put(KEY, LegacyReplicasCodec.encode(term.number()));
        store.commit(transaction, RequestUrgency.HIGH, this::onCommitOutcome);
    }

    private void onCommitOutcome(TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed) {
            invalidated = true;
            writeInFlight = false;
        } else {
            eventLoop.after(RETRY_DELAY_MS, () -> writeInFlight = false);
        }
    }
}
