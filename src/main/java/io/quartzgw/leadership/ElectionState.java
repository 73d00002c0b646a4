package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.store.KeyChange;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.ListResult;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import java.util.List;
import java.util.Optional;

/** A local copy of the election keys in the state service, kept up to date by a watch. */
final class ElectionState {
    private static final int RETRY_DELAY_MS = 250;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final Runnable onChange;

    private boolean initialized;
    private long watchGeneration;
    private Optional<LeaderRecord> leader = Optional.empty();
    private long leaderRevision;
    private long term;
    private long termRevision;
    private long deposedTerm;
    private long deposedRevision;

    /** @param onChange called after the keys were read or have changed */
    ElectionState(EventLoop eventLoop, StoreClient store, Runnable onChange) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.onChange = onChange;
    }

    /** Returns whether the keys have been read at least once. */
    boolean initialized() {
        return initialized;
    }

    /** Returns the leader record; empty if there is none or it has not been read. */
    Optional<LeaderRecord> leader() {
        return leader;
    }

    /** Returns the revision of the leader record, or {@link Transaction#NO_REVISION}. */
    long leaderRevision() {
        return leaderRevision;
    }

    long term() {
        return term;
    }

    /** Returns the revision of the term key, or {@link Transaction#NO_REVISION}. */
    long termRevision() {
        return termRevision;
    }

    /** Returns the term of the leader that was deposed last, or 0 if none was. */
    long deposedTerm() {
        return deposedTerm;
    }

    /** Returns the revision of the deposition record, or {@link Transaction#NO_REVISION}. */
    long deposedRevision() {
        return deposedRevision;
    }

    /** Reads the keys again and watches them from that revision. An earlier watch becomes inactive. */
    void reload() {
        long generation = ++watchGeneration;
        store.listPrefix(Leadership.PREFIX, result -> onListed(result, generation));
    }

    private void onListed(ListResult result, long generation) {
        if (generation != watchGeneration) {
            return;
        }
        if (result instanceof ListResult.Listed listed) {
            replaceWith(listed.listing().entries());
            onChange.run();
            store.watch(
                    Leadership.PREFIX,
                    listed.listing().revision(),
                    listed.listing().readAtMs(),
                    new ElectionWatcher(generation));
        } else {
            eventLoop.after(RETRY_DELAY_MS, () -> reloadUnlessSuperseded(generation));
        }
    }

    private void reloadUnlessSuperseded(long generation) {
        if (generation == watchGeneration) {
            reload();
        }
    }

    private void replaceWith(List<KeyValue> entries) {
        leader = Optional.empty();
        leaderRevision = Transaction.NO_REVISION;
        term = 0;
        termRevision = Transaction.NO_REVISION;
        deposedTerm = 0;
        deposedRevision = Transaction.NO_REVISION;
        for (KeyValue entry : entries) {
            apply(new KeyChange(entry.key(), entry.value(), entry.revision()));
        }
        initialized = true;
    }

    /** Applies the result of a won election without waiting for the watch to report it. */
    void applyWonElection(long wonTerm, long revision) {
        term = Math.max(term, wonTerm);
        termRevision = Math.max(termRevision, revision);
    }

    private void apply(KeyChange change) {
        if (change.key().equals(Leadership.TERM_KEY)) {
            applyTerm(change);
        } else if (change.key().equals(Leadership.LEADER_KEY)) {
            applyLeader(change);
        } else if (change.key().equals(Leadership.DEPOSED_KEY)) {
            applyDeposition(change);
        }
    }

    private void applyDeposition(KeyChange change) {
        if (change.newValue().isPresent() && change.revision() >= deposedRevision) {
            deposedTerm = LeaderRecordCodec.decodeTerm(change.newValue().get());
            deposedRevision = change.revision();
        }
    }

    private void applyTerm(KeyChange change) {
        if (change.newValue().isPresent() && change.revision() >= termRevision) {
            term = LeaderRecordCodec.decodeTerm(change.newValue().get());
            termRevision = change.revision();
        }
    }

    private void applyLeader(KeyChange change) {
        if (change.revision() >= leaderRevision) {
            leader = change.newValue().map(LeaderRecordCodec::decode);
            leaderRevision = leader.isPresent() ? change.revision() : Transaction.NO_REVISION;
        }
    }

    /** A watch of the election keys. It is inactive once the keys are read again. */
    private final class ElectionWatcher implements StoreClient.Watcher {
        private final long generation;

        ElectionWatcher(long generation) {
            this.generation = generation;
        }

        @Override
        public boolean active() {
            return generation == watchGeneration;
        }

        @Override
        public void onChanges(List<KeyChange> changes) {
            changes.forEach(ElectionState.this::apply);
            onChange.run();
        }

        @Override
        public void onCompacted() {
            reload();
        }
    }
}
