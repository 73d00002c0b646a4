package io.quartzgw.submission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quartzgw.store.Entry;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.TxnOutcome;
import io.quartzgw.store.Urgency;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Jobs in the state service. Final phases are cached, since they never change; everything else, that
 * a job is not there included, is read anew, so that no user gets an older answer than before.
 */
public final class JobStore {
    private static final int CACHED = 20_000;

    private final StoreClient store;
    private final Cache<String, FinalPhase> finished =
            Caffeine.newBuilder().maximumSize(CACHED).executor(Runnable::run).build();
    private final Map<String, SharedRead> reads = new HashMap<>();

    /** What the state service knows of a job. */
    public sealed interface Found {
        record Open(OpenJob job) implements Found {}

        record Over(FinalPhase phase) implements Found {}

        record Nothing() implements Found {}

        /** The state service did not tell. */
        record Unclear() implements Found {}
    }

    /** How an acceptance ended. */
    public sealed interface Accepted {
        record New(OpenJob job) implements Accepted {}

        /** The id is known already. */
        record Known() implements Accepted {}

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

    public void find(String id, Consumer<Found> then) {
        FinalPhase known = cached(id);
        if (known != null) {
            then.accept(new Found.Over(known));
            return;
        }
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
        store.get(JobKeys.open(id), open -> {
            if (open == null) {
                end(id, read, new Found.Unclear());
            } else if (!open.isEmpty()) {
                Entry entry = open.get(0);
                end(id, read, new Found.Open(OpenJob.fromRecord(entry.value(), entry.revision())));
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

    public void accept(JobSpec spec, long acceptedAt, Consumer<Accepted> then) {
        Txn txn = new Txn().guard(JobKeys.open(spec.id()), Txn.ABSENT).guard(JobKeys.over(spec.id()), Txn.ABSENT)
                .put(JobKeys.open(spec.id()), OpenJob.record(spec, acceptedAt));
        store.commit(txn, Urgency.NORMAL, outcome -> {
            if (outcome instanceof TxnOutcome.Committed committed) {
                then.accept(new Accepted.New(new OpenJob(spec, committed.revision(), acceptedAt)));
            } else if (outcome instanceof TxnOutcome.Conflict) {
                then.accept(new Accepted.Known());
            } else {
                then.accept(new Accepted.Unclear());
            }
        });
    }

    /** Withdraws an open job, unless it has ended otherwise; says whether it was withdrawn by this. */
    public void withdraw(OpenJob job, int done, Consumer<TxnOutcome> then) {
        String id = job.spec().id();
        FinalPhase phase = new FinalPhase(true, done);
        Txn txn = new Txn().guard(JobKeys.open(id), job.revision())
                .drop(JobKeys.open(id)).put(JobKeys.over(id), phase.toJson());
        store.commit(txn, Urgency.FIRST, outcome -> {
            if (outcome instanceof TxnOutcome.Committed) {
                over(id, phase);
            }
            then.accept(outcome);
        });
    }
}
