package io.quartzgw.submission;

import com.github.benmanes.caffeine.cache.Cache;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import io.quartzgw.submission.JobStore.LookupResult;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Checks whether open records still have their known revisions. One transaction without writes checks many records;
 * requests that arrive while it is in flight wait for the next one.
 */
final class OpenJobRevalidation {
    /** Preconditions that the state service allows in a transaction, per allowed write. */
    private static final int PRECONDITIONS_PER_WRITE = 4;

    private final StoreClient store;
    private final Cache<String, Long> openRevisions;
    private final BiConsumer<String, Consumer<LookupResult>> readJob;
    private final Map<String, List<Consumer<LookupResult>>> waitingCallers = new LinkedHashMap<>();
    private boolean inFlight;

    /** A job whose revision is being checked, and the callers waiting for the result. */
    private record Check(String id, long revision, List<Consumer<LookupResult>> callers) {}

    /**
     * @param openRevisions the known revisions by job ID; changed ones are removed
     * @param read reads a job whose revision is not known or has changed
     */
    OpenJobRevalidation(
            StoreClient store, Cache<String, Long> openRevisions, BiConsumer<String, Consumer<LookupResult>> read) {
        this.store = store;
        this.openRevisions = openRevisions;
        this.readJob = read;
    }

    /** Revalidates the record of a job that was open before. */
    void request(String id, Consumer<LookupResult> callback) {
        waitingCallers.computeIfAbsent(id, key -> new ArrayList<>()).add(callback);
        sendNextBatch();
    }

    private void sendNextBatch() {
        if (inFlight || waitingCallers.isEmpty()) {
            return;
        }
        List<Check> batch = takeNextBatch();
        if (batch.isEmpty()) {
            return;
        }
        Transaction transaction = new Transaction();
        batch.forEach(check -> transaction.require(JobKeys.open(check.id()), check.revision()));
        inFlight = true;
        store.commit(transaction, RequestUrgency.NORMAL, outcome -> {
            inFlight = false;
            batch.forEach(check -> complete(check, outcome));
            sendNextBatch();
        });
    }

    private List<Check> takeNextBatch() {
        List<Check> batch = new ArrayList<>();
        Iterator<Map.Entry<String, List<Consumer<LookupResult>>>> entries =
                waitingCallers.entrySet().iterator();
        while (entries.hasNext() && batch.size() < PRECONDITIONS_PER_WRITE * store.maxTransactionWrites()) {
            Map.Entry<String, List<Consumer<LookupResult>>> entry = entries.next();
            entries.remove();
            String id = entry.getKey();
            Long revision = openRevisions.getIfPresent(id);
            if (revision == null) {
                entry.getValue().forEach(caller -> readJob.accept(id, caller));
            } else {
                batch.add(new Check(id, revision, entry.getValue()));
            }
        }
        return batch;
    }

    private void complete(Check check, TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed) {
            check.callers().forEach(caller -> caller.accept(new LookupResult.Open(check.revision())));
        } else if (outcome instanceof TransactionOutcome.Conflict conflict) {
            if (conflict.failedKeys().contains(JobKeys.open(check.id()))) {
                openRevisions.invalidate(check.id());
                check.callers().forEach(caller -> readJob.accept(check.id(), caller));
            } else {
                // A conflict need not name every key that has changed, so check the unnamed ones again.
                waitingCallers
                        .computeIfAbsent(check.id(), key -> new ArrayList<>())
                        .addAll(check.callers());
            }
        } else {
            check.callers().forEach(caller -> caller.accept(new LookupResult.Unavailable()));
        }
    }
}
