package io.quartzgw.submission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quartzgw.model.JobSpec;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
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
    private static final int CACHE_SIZE = 20_000;
    /** The service compares so many keys for each change that a transaction may hold. */
    private static final int PRECONDITIONS_PER_WRITE = 4;

    private final StoreClient store;
    private final Cache<String, TerminalState> terminalStates = Caffeine.newBuilder()
            .maximumSize(CACHE_SIZE)
            .executor(Runnable::run)
            .build();
    /** The revisions of open records that this node has seen. */
    private final Cache<String, Long> openRevisions = Caffeine.newBuilder()
            .maximumSize(CACHE_SIZE)
            .executor(Runnable::run)
            .build();

    private final Map<String, SharedRead> reads = new HashMap<>();
    private final Map<String, List<Consumer<LookupResult>>> toRevalidate = new LinkedHashMap<>();
    private boolean revalidating;

    /** What the state service knows of a job. */
    public sealed interface LookupResult {
        /** @param revision of its record */
        record Open(long revision) implements LookupResult {}

        /** The job has ended. */
        record Terminal(TerminalState phase) implements LookupResult {}

        /** No job has this id. */
        record NotFound() implements LookupResult {}

        /** The state service did not tell. */
        record Unavailable() implements LookupResult {}
    }

    /** How an acceptance ended. */
    public sealed interface AcceptResult {
        /** The job was recorded. */
        record New(OpenJob job) implements AcceptResult {}

        /** The id is known already. */
        record Known() implements AcceptResult {}

        /** Whether the job was recorded is not known. */
        record Unknown() implements AcceptResult {}
    }

    /** Callers of one read; those that come while it is under way wait for the next one. */
    private static final class SharedRead {
        private final List<Consumer<LookupResult>> callers = new ArrayList<>();
        private final List<Consumer<LookupResult>> next = new ArrayList<>();
    }

    public JobStore(StoreClient store) {
        this.store = store;
    }

    public TerminalState cachedTerminalState(String id) {
        return terminalStates.getIfPresent(id);
    }

    /** Notes that a job is over, as a committed transaction or a read has told. */
    public void recordTerminal(String id, TerminalState phase) {
        terminalStates.put(id, phase);
    }

    /** Looks a job up; the answer is never older than the question. */
    public void lookUp(String id, Consumer<LookupResult> then) {
        TerminalState known = cachedTerminalState(id);
        if (known != null) {
            then.accept(new LookupResult.Terminal(known));
            return;
        }
        if (openRevisions.getIfPresent(id) != null) {
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
        Map<String, List<Consumer<LookupResult>>> batch = new LinkedHashMap<>();
        Map<String, Long> revisions = new LinkedHashMap<>();
        Transaction txn = new Transaction();
        var each = toRevalidate.entrySet().iterator();
        while (each.hasNext() && batch.size() < PRECONDITIONS_PER_WRITE * store.maxTransactionWrites()) {
            Map.Entry<String, List<Consumer<LookupResult>>> next = each.next();
            each.remove();
            Long revision = openRevisions.getIfPresent(next.getKey());
            if (revision == null) {
                next.getValue().forEach(caller -> read(next.getKey(), caller));
                continue;
            }
            batch.put(next.getKey(), next.getValue());
            revisions.put(next.getKey(), revision);
            txn.require(JobKeys.open(next.getKey()), revision);
        }
        if (batch.isEmpty()) {
            return;
        }
        revalidating = true;
        store.commit(txn, RequestUrgency.NORMAL, outcome -> {
            revalidating = false;
            batch.forEach((id, callers) -> revalidated(id, callers, revisions.get(id), outcome));
            revalidate();
        });
    }

    private void revalidated(
            String id, List<Consumer<LookupResult>> callers, long revision, TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed) {
            callers.forEach(caller -> caller.accept(new LookupResult.Open(revision)));
        } else if (outcome instanceof TransactionOutcome.Conflict conflict) {
            if (conflict.failedKeys().contains(JobKeys.open(id))) {
                openRevisions.invalidate(id);
                callers.forEach(caller -> read(id, caller));
            } else {
                // Nothing says that every key that has changed is named: ask again without those that were.
                toRevalidate.computeIfAbsent(id, key -> new ArrayList<>()).addAll(callers);
            }
        } else {
            callers.forEach(caller -> caller.accept(new LookupResult.Unavailable()));
        }
    }

    private void read(String id, Consumer<LookupResult> then) {
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
                end(id, read, new LookupResult.Unavailable());
            } else if (!found.isEmpty()) {
                long revision = found.get(0).revision();
                openRevisions.put(id, revision);
                end(id, read, new LookupResult.Open(revision));
            } else {
                store.get(JobKeys.terminal(id), over -> {
                    if (over == null) {
                        end(id, read, new LookupResult.Unavailable());
                    } else if (over.isEmpty()) {
                        end(id, read, new LookupResult.NotFound());
                    } else {
                        TerminalState phase = TerminalState.fromJson(over.get(0).value());
                        recordTerminal(id, phase);
                        end(id, read, new LookupResult.Terminal(phase));
                    }
                });
            }
        });
    }

    private void end(String id, SharedRead read, LookupResult found) {
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
    public void accept(JobSpec spec, long acceptedAt, Consumer<AcceptResult> then) {
        Transaction txn = new Transaction()
                .require(JobKeys.open(spec.id()), Transaction.NO_REVISION)
                .require(JobKeys.terminal(spec.id()), Transaction.NO_REVISION)
                .put(JobKeys.open(spec.id()), OpenJob.record(spec, acceptedAt));
        store.commit(txn, RequestUrgency.NORMAL, outcome -> {
            if (outcome instanceof TransactionOutcome.Committed committed) {
                openRevisions.put(spec.id(), committed.revision());
                then.accept(new AcceptResult.New(new OpenJob(spec, committed.revision(), acceptedAt)));
            } else if (outcome instanceof TransactionOutcome.Conflict) {
                then.accept(new AcceptResult.Known());
            } else {
                then.accept(new AcceptResult.Unknown());
            }
        });
    }

    /** Cancels an open job, unless it has ended otherwise; says whether it was cancelled by this. */
    public void cancel(String id, long revision, int done, Consumer<TransactionOutcome> then) {
        TerminalState phase = new TerminalState(true, done);
        Transaction txn = new Transaction()
                .require(JobKeys.open(id), revision)
                .delete(JobKeys.open(id))
                .put(JobKeys.terminal(id), phase.toJson());
        store.commit(txn, RequestUrgency.HIGH, outcome -> {
            if (outcome instanceof TransactionOutcome.Committed) {
                recordTerminal(id, phase);
            }
            then.accept(outcome);
        });
    }
}
