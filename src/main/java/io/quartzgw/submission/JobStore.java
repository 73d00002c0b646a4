package io.quartzgw.submission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.TxnOutcome;
import io.quartzgw.store.Urgency;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Jobs in the state service. Final phases are cached, since they never change. That a job is still open is asked anew
 * for every user, so that none gets an older answer than before; but a node that has seen the open record once only
 * asks whether it is still there, for many jobs in one request.
 */
public final class JobStore {
    private static final int CACHED = 20_000;
    /** The service compares so many keys for each change that a transaction may hold. */
    private static final int GUARDS_PER_OP = 4;

    private final StoreClient store;
    private final Cache<String, FinalPhase> finished =
            Caffeine.newBuilder().maximumSize(CACHED).executor(Runnable::run).build();
    /** The revisions of open records that this node has seen. */
    private final Cache<String, Long> open =
            Caffeine.newBuilder().maximumSize(CACHED).executor(Runnable::run).build();

    private final Map<String, SharedRead> reads = new HashMap<>();
    private final Map<String, List<Consumer<Found>>> toRevalidate = new LinkedHashMap<>();
    private boolean revalidating;

    /** What the state service knows of a job. */
    public sealed interface Found {
        /** @param revision of its record */
        record Open(long revision) implements Found {}

        /** The job has ended. */
        record Over(FinalPhase phase) implements Found {}

        /** No job has this id. */
        record Nothing() implements Found {}

        /** The state service did not tell. */
        record Unclear() implements Found {}
    }

    /** How an acceptance ended. */
    public sealed interface Accepted {
        /** The job was recorded. */
        record New(OpenJob job) implements Accepted {}

        /** The id is known already. */
        record Known() implements Accepted {}

        /** Whether the job was recorded is not known. */
        record Unclear() implements Accepted {}
    }

    /** Callers of one read; those that come while it is under way wait for the next one. */
    private static final class SharedRead {
        private final List<Consumer<Found>> callers = new ArrayList<>();
        private final List<Consumer<Found>> next = new ArrayList<>();
    }

    public JobStore(StoreClient store) {
        this.store = store;
    }

    public FinalPhase cached(String id) {
        return finished.getIfPresent(id);
    }

    /** Notes that a job is over, as a committed transaction or a read has told. */
    public void over(String id, FinalPhase phase) {
        finished.put(id, phase);
    }

    /** Looks a job up; the answer is never older than the question. */
    public void find(String id, Consumer<Found> then) {
        FinalPhase known = cached(id);
        if (known != null) {
            then.accept(new Found.Over(known));
            return;
        }
        if (open.getIfPresent(id) != null) {
            toRevalidate.computeIfAbsent(id, key -> new ArrayList<>()).add(then);
            revalidate();
            return;
        }
        read(id, then);
    }

    // Asks whether the open records that callers wait for are still there: a transaction that only compares.
    // Callers that come while one is under way wait for the next, like those of a shared read.
    private void revalidate() {
        if (revalidating || toRevalidate.isEmpty()) {
            return;
        }
        Map<String, List<Consumer<Found>>> batch = new LinkedHashMap<>();
        Map<String, Long> revisions = new LinkedHashMap<>();
        Txn txn = new Txn();
        var each = toRevalidate.entrySet().iterator();
        while (each.hasNext() && batch.size() < GUARDS_PER_OP * store.txnOps()) {
            Map.Entry<String, List<Consumer<Found>>> next = each.next();
            each.remove();
            Long revision = open.getIfPresent(next.getKey());
            if (revision == null) {
                next.getValue().forEach(caller -> read(next.getKey(), caller));
                continue;
            }
            batch.put(next.getKey(), next.getValue());
            revisions.put(next.getKey(), revision);
            txn.guard(JobKeys.open(next.getKey()), revision);
        }
        if (batch.isEmpty()) {
            return;
        }
        revalidating = true;
        store.commit(txn, Urgency.NORMAL, outcome -> {
            revalidating = false;
            batch.forEach((id, callers) -> revalidated(id, callers, revisions.get(id), outcome));
            revalidate();
        });
    }

    private void revalidated(String id, List<Consumer<Found>> callers, long revision, TxnOutcome outcome) {
        if (outcome instanceof TxnOutcome.Committed) {
            callers.forEach(caller -> caller.accept(new Found.Open(revision)));
        } else if (outcome instanceof TxnOutcome.Conflict conflict) {
            if (conflict.failed().contains(JobKeys.open(id))) {
                open.invalidate(id);
                callers.forEach(caller -> read(id, caller));
            } else {
                // Nothing says that every key that has changed is named: ask again without those that were.
                toRevalidate.computeIfAbsent(id, key -> new ArrayList<>()).addAll(callers);
            }
        } else {
            callers.forEach(caller -> caller.accept(new Found.Unclear()));
        }
    }

    private void read(String id, Consumer<Found> then) {
        SharedRead running = reads.get(id);
        if (running != null) {
            // A read under way may have been answered before this caller asked: its answer could be
            // older than one that the caller already has.
            running.next.add(then);
            return;
        }
        SharedRead read = new SharedRead();
        read.callers.add(then);
        reads.put(id, read);
        start(id, read);
    }

    private void start(String id, SharedRead read) {
        // A job moves from open to over in one transaction, so reading in this order can't miss it.
        store.get(JobKeys.open(id), found -> {
            if (found == null) {
                end(id, read, new Found.Unclear());
            } else if (!found.isEmpty()) {
                long revision = found.get(0).revision();
                open.put(id, revision);
                end(id, read, new Found.Open(revision));
            } else {
                store.get(JobKeys.over(id), over -> {
                    if (over == null) {
                        end(id, read, new Found.Unclear());
                    } else if (over.isEmpty()) {
                        end(id, read, new Found.Nothing());
                    } else {
                        FinalPhase phase = FinalPhase.fromJson(over.get(0).value());
                        over(id, phase);
                        end(id, read, new Found.Over(phase));
                    }
                });
            }
        });
    }

    private void end(String id, SharedRead read, Found found) {
        if (read.next.isEmpty()) {
            reads.remove(id);
        } else {
            SharedRead following = new SharedRead();
            following.callers.addAll(read.next);
            reads.put(id, following);
            start(id, following);
        }
        read.callers.forEach(caller -> caller.accept(found));
    }

    /** Records a new job, unless its id is known already. */
    public void accept(JobSpec spec, long acceptedAt, Consumer<Accepted> then) {
        Txn txn = new Txn()
                .guard(JobKeys.open(spec.id()), Txn.ABSENT)
                .guard(JobKeys.over(spec.id()), Txn.ABSENT)
                .put(JobKeys.open(spec.id()), OpenJob.record(spec, acceptedAt));
        store.commit(txn, Urgency.NORMAL, outcome -> {
            if (outcome instanceof TxnOutcome.Committed committed) {
                open.put(spec.id(), committed.revision());
                then.accept(new Accepted.New(new OpenJob(spec, committed.revision(), acceptedAt)));
            } else if (outcome instanceof TxnOutcome.Conflict) {
                then.accept(new Accepted.Known());
            } else {
                then.accept(new Accepted.Unclear());
            }
        });
    }

    /** Cancels an open job, unless it has ended otherwise; says whether it was cancelled by this. */
    public void cancel(String id, long revision, int done, Consumer<TxnOutcome> then) {
        FinalPhase phase = new FinalPhase(true, done);
        Txn txn = new Txn()
                .guard(JobKeys.open(id), revision)
                .drop(JobKeys.open(id))
                .put(JobKeys.over(id), phase.toJson());
        store.commit(txn, Urgency.FIRST, outcome -> {
            if (outcome instanceof TxnOutcome.Committed) {
                over(id, phase);
            }
            then.accept(outcome);
        });
    }
}
