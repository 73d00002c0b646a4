package io.quartzgw.replication;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.store.ReadResult;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The other controllers that have to acknowledge a start before it leaves in a direct call.
 *
 * <p>One that does not answer is left out once the state service has a record without it, so that a successor never
 * trusts its replica; one that has caught up is waited for again before the record names it. So the record never names
 * a controller that is not waited for. At least one of the others remains.
 */
final class InSyncSet {
    private static final Logger LOG = LoggerFactory.getLogger(InSyncSet.class);
    private static final int RETRY_MS = 250;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final String leader;
    private final Set<String> followers;
    private final Runnable onShrunk;
    private final Set<String> required;
    private final Set<String> excluded = new HashSet<>();
    /** The followers that the record names, or all without a record of this term. */
    private Set<String> recorded;

    private long keyRevision;
    private boolean writing;

    /**
     * Creates the set of a new term, with all followers.
     *
     * @param keyRevision the revision of the stored record
     * @param onShrunk called when a follower has been left out
     */
    InSyncSet(
            EventLoop eventLoop,
            StoreClient store,
            LeaderTerm term,
            String leader,
            Set<String> followers,
            long keyRevision,
            Runnable onShrunk) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
        this.leader = leader;
        this.followers = new LinkedHashSet<>(followers);
        this.required = new LinkedHashSet<>(followers);
        this.recorded = this.followers;
        this.keyRevision = keyRevision;
        this.onShrunk = onShrunk;
    }

    /** Returns the followers that have to acknowledge a start. */
    Set<String> required() {
        return Collections.unmodifiableSet(required);
    }

    /** Leaves out a follower that does not answer, as soon as that is recorded. */
    void exclude(String follower) {
        if (excluded.add(follower)) {
            write();
        }
    }

    /** Waits for a follower again that has every start which may have left. */
    void include(String follower) {
        if (excluded.remove(follower)) {
            required.add(follower);
            write();
        }
    }

    private void write() {
        Set<String> wanted = new LinkedHashSet<>(followers);
        wanted.removeAll(excluded);
        if (writing || !term.isCurrent() || wanted.isEmpty() || wanted.equals(recorded)) {
            return;
        }
        writing = true;
        Set<String> members = new LinkedHashSet<>(wanted);
        members.add(leader);
        Transaction transaction = new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision())
                .require(StoredInSyncRecord.KEY, keyRevision)
                .put(StoredInSyncRecord.KEY, InSyncRecordCodec.encode(new InSyncRecord(term.number(), members)));
        store.commit(transaction, RequestUrgency.HIGH, outcome -> onOutcome(wanted, outcome));
    }

    private void onOutcome(Set<String> wanted, TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed committed) {
            writing = false;
            keyRevision = committed.revision();
            onRecorded(wanted);
            write();
        } else {
            // A write without an answer may have been applied, or may be applied as long as the revision stands.
            store.read(StoredInSyncRecord.KEY, this::onRevisionRead);
        }
    }

    private void onRevisionRead(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            keyRevision = found.entry().revision();
        } else if (result instanceof ReadResult.Absent) {
            keyRevision = Transaction.NO_REVISION;
        }
        eventLoop.after(RETRY_MS, () -> {
            writing = false;
            write();
        });
    }

    private void onRecorded(Set<String> wanted) {
        recorded = wanted;
        boolean shrunk = required.removeIf(follower -> excluded.contains(follower) && !wanted.contains(follower));
        eventLoop.increment("replication.sets_recorded", 1);
        LOG.atInfo()
                .addKeyValue("term", term.number())
                .addKeyValue("members", wanted)
                .log("followers in sync recorded");
        if (shrunk) {
            onShrunk.run();
        }
    }
}
