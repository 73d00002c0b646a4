package io.quartzgw.startlog;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;

/**
 * The replicas of starts that controllers of an earlier version hold in memory. That version takes the starts of former
 * leaders from a replica which the key {@code starts/insync} covers. A leader of this version tells no replica of its
 * starts, so before its first one leaves it records that no replica of its term or an earlier one covers them.
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

    /** Returns whether it is recorded that no replica covers the starts of this leader. */
    boolean areInvalidated() {
        return invalidated;
    }

    /** Records it, once in a term. */
    void invalidate() {
        if (invalidated || writeInFlight) {
            return;
        }
        writeInFlight = true;
        // A late copy is applied in this term only, and says the same.
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
