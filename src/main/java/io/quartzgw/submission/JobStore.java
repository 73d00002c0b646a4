package io.quartzgw.submission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.quartzgw.model.JobSpec;
import io.quartzgw.store.ReadResult;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Job records in the state service. Terminal states are cached, since they never change. Whether a job is still open is
 * checked for every request, so no user gets an older state than before. If the revision of the open record is known,
 * only that is revalidated, for many jobs in one request.
 */
public final class JobStore {
    private static final int MAX_CACHED_JOBS = 20_000;

    private final StoreClient store;
    private final Cache<String, TerminalState> terminalStates = newCache();
    /** Revisions of the open records that this controller has read or written, by job ID. */
    private final Cache<String, Long> openRevisions = newCache();

    private final Map<String, SharedRead> readsInFlight = new HashMap<>();
    private final OpenJobRevalidation revalidation;

    /** Result of a job lookup in the state service. */
    public sealed interface LookupResult {
        /** The job is open; the revision is that of its record. */
        record Open(long revision) implements LookupResult {}

        /** The job is terminal. */
        record Terminal(TerminalState state) implements LookupResult {}

        /** No job has this ID. */
        record NotFound() implements LookupResult {}

        /** The state service did not respond. */
        record Unavailable() implements LookupResult {}
    }

    /** Result of recording a new job. */
    public sealed interface AcceptResult {
        /** The job was recorded. */
        record New(OpenJob job) implements AcceptResult {}

        /** A job with this ID already exists. */
        record AlreadyExists() implements AcceptResult {}

        /** Whether the job was recorded is not known. */
        record Unknown() implements AcceptResult {}
    }

    /** Callers that share one read. Those that arrive while it is in flight wait for the next one. */
    private static final class SharedRead {
        private final List<Consumer<LookupResult>> callers = new ArrayList<>();
        private final List<Consumer<LookupResult>> nextCallers = new ArrayList<>();
    }

    /** @param store the state service */
    public JobStore(StoreClient store) {
        this.store = store;
        this.revalidation = new OpenJobRevalidation(store, openRevisions, this::read);
    }

    private static <V> Cache<String, V> newCache() {
        return Caffeine.newBuilder()
                .maximumSize(MAX_CACHED_JOBS)
                .executor(Runnable::run)
                .build();
    }

    /** Returns the terminal state of a job if this controller knows it. */
    public Optional<TerminalState> terminalState(String id) {
        return Optional.ofNullable(terminalStates.getIfPresent(id));
    }

    /** Caches the terminal state of a job from a committed transaction or a read. */
    public void recordTerminal(String id, TerminalState state) {
        terminalStates.put(id, state);
    }

    /** Looks up a job; the result is never older than the call. */
    public void lookUp(String id, Consumer<LookupResult> callback) {
        Optional<TerminalState> terminal = terminalState(id);
        if (terminal.isPresent()) {
            callback.accept(new LookupResult.Terminal(terminal.get()));
        } else if (openRevisions.getIfPresent(id) != null) {
            revalidation.request(id, callback);
        } else {
            read(id, callback);
        }
    }

    private void read(String id, Consumer<LookupResult> callback) {
        SharedRead inFlight = readsInFlight.get(id);
        if (inFlight != null) {
            // The state service may have processed the read in flight before this call. Its result could be older than
            // one that the caller has already received.
            inFlight.nextCallers.add(callback);
            return;
        }
        SharedRead read = new SharedRead();
        read.callers.add(callback);
        startRead(id, read);
    }

    // A job moves from open to terminal in one transaction, so reading in this order can't miss it.
    private void startRead(String id, SharedRead read) {
        readsInFlight.put(id, read);
        store.read(JobKeys.open(id), result -> onOpenRecord(id, read, result));
    }

    private void onOpenRecord(String id, SharedRead read, ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            long revision = found.entry().revision();
            openRevisions.put(id, revision);
            finishRead(id, read, new LookupResult.Open(revision));
        } else if (result instanceof ReadResult.Absent) {
            store.read(JobKeys.terminal(id), terminal -> onTerminalRecord(id, read, terminal));
        } else {
            finishRead(id, read, new LookupResult.Unavailable());
        }
    }

    private void onTerminalRecord(String id, SharedRead read, ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            TerminalState state = JobRecordCodec.decodeTerminal(found.entry().value());
            recordTerminal(id, state);
            finishRead(id, read, new LookupResult.Terminal(state));
        } else if (result instanceof ReadResult.Absent) {
            finishRead(id, read, new LookupResult.NotFound());
        } else {
            finishRead(id, read, new LookupResult.Unavailable());
        }
    }

    private void finishRead(String id, SharedRead read, LookupResult result) {
        if (read.nextCallers.isEmpty()) {
            readsInFlight.remove(id);
        } else {
            SharedRead nextRead = new SharedRead();
            nextRead.callers.addAll(read.nextCallers);
            startRead(id, nextRead);
        }
        read.callers.forEach(caller -> caller.accept(result));
    }

    /** Records a new job unless one with its ID already exists. */
    public void accept(JobSpec spec, long acceptedAtMs, Consumer<AcceptResult> callback) {
        Transaction transaction = new Transaction()
                .require(JobKeys.open(spec.id()), Transaction.NO_REVISION)
                .require(JobKeys.terminal(spec.id()), Transaction.NO_REVISION)
                .put(JobKeys.open(spec.id()), JobRecordCodec.encodeOpen(spec, acceptedAtMs));
        store.commit(
                transaction,
                RequestUrgency.NORMAL,
                outcome -> callback.accept(acceptResult(spec, acceptedAtMs, outcome)));
    }

    private AcceptResult acceptResult(JobSpec spec, long acceptedAtMs, TransactionOutcome outcome) {
        if (outcome instanceof TransactionOutcome.Committed committed) {
            openRevisions.put(spec.id(), committed.revision());
            return new AcceptResult.New(new OpenJob(spec, committed.revision(), acceptedAtMs));
        }
        return outcome instanceof TransactionOutcome.Conflict
                ? new AcceptResult.AlreadyExists()
                : new AcceptResult.Unknown();
    }

    /**
     * Cancels an open job, unless it has become terminal.
     *
     * @param revision the revision of the open record
     * @param completedTasks the number of completed tasks, for display
     */
    public void cancel(String id, long revision, int completedTasks, Consumer<TransactionOutcome> callback) {
        TerminalState state = new TerminalState(true, completedTasks);
        Transaction transaction = new Transaction()
                .require(JobKeys.open(id), revision)
                .delete(JobKeys.open(id))
                .put(JobKeys.terminal(id), JobRecordCodec.encodeTerminal(state));
        store.commit(transaction, RequestUrgency.HIGH, outcome -> {
            if (outcome instanceof TransactionOutcome.Committed) {
                recordTerminal(id, state);
            }
            callback.accept(outcome);
        });
    }
}
