package io.quartzgw.progress;

import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Job;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.TxnOutcome;
import io.quartzgw.store.Urgency;
import io.quartzgw.submission.FinalPhase;
import io.quartzgw.submission.JobKeys;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes finishes in batches, and the end of a job with its last finish. */
public final class Progress {
    private static final double BATCH_REPORTS = 0.2;
    private static final double RETRY_REPORTS = 0.1;

    private final Kernel kernel;
    private final StoreClient store;
    private final Leadership leadership;
    private final long termRevision;
    private final Packing packing;
    private final Listener listener;
    private final long batchMs;
    private final long retryMs;
    private final Map<Job, Set<Integer>> unwritten = new LinkedHashMap<>();
    private final Map<String, Set<Integer>> chunks = new HashMap<>();
    private final Set<Job> ending = new HashSet<>();
    private boolean scheduled;
    private boolean writing;

    /** What the rest of the leader wants to know of. */
    public interface Listener {
        /** Finishes of the job were written. */
        void recorded(Job job);

        /** The job is over in the state service. */
        void ended(Job job, FinalPhase phase);

        /** The job's end could not be written: it has ended some other way. */
        void endedOtherwise(Job job);
    }

    public Progress(Kernel kernel, StoreClient store, Leadership leadership, long termRevision, long reportMs,
            Listener listener) {
        this.kernel = kernel;
        this.store = store;
        this.leadership = leadership;
        this.termRevision = termRevision;
        this.packing = new Packing(store.valueBytes());
        this.listener = listener;
        this.batchMs = (long) (BATCH_REPORTS * reportMs);
        this.retryMs = (long) (RETRY_REPORTS * reportMs);
    }

    public Packing packing() {
        return packing;
    }

    /** Notes a value that the state service holds, found at a takeover. */
    public void found(String key) {
        int chunk = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
        chunks.computeIfAbsent(Packing.jobOf(key), id -> new HashSet<>()).add(chunk);
    }

    /** A task has completed. */
    public void finished(Job job, int index) {
        if (job.complete()) {
            // Its user expects the job to be done at once; the job's end says all of its progress.
            unwritten.remove(job);
            end(job);
            return;
        }
        unwritten.computeIfAbsent(job, key -> new LinkedHashSet<>()).add(packing.chunkOf(index));
        schedule(batchMs);
    }

    /** Drops the progress of a job that was withdrawn. */
    public void dropped(String job) {
        Set<Integer> written = chunks.remove(job);
        if (written == null) {
            return;
        }
        Txn txn = new Txn().guard(Leadership.TERM, termRevision);
        written.stream().limit(store.txnOps()).forEach(chunk -> txn.drop(Packing.key(job, chunk)));
        store.commit(txn, Urgency.NORMAL, outcome -> {
            // What is left over is found, and dropped, by the next takeover.
        });
    }

    // ---- batches

    private void schedule(long delay) {
        if (!scheduled) {
            scheduled = true;
            kernel.after(delay, () -> {
                scheduled = false;
                write();
            });
        }
    }

    private boolean mine() {
        return leadership.leading() && termRevision == leadership.termRevision();
    }

    private void write() {
        if (!mine() || writing || unwritten.isEmpty()) {
            return;
        }
        if (!leadership.confirmed()) {
            schedule(retryMs);
            return;
        }
        Txn txn = new Txn().guard(Leadership.TERM, termRevision);
        Map<Job, BitSet> batch = new LinkedHashMap<>();
        List<Job> taken = new ArrayList<>();
        for (Map.Entry<Job, Set<Integer>> entry : unwritten.entrySet()) {
            Job job = entry.getKey();
            if (txn.size() + entry.getValue().size() > store.txnOps()) {
                break;
            }
            taken.add(job);
            if (!job.over()) {
                BitSet snapshot = (BitSet) job.done().clone();
                entry.getValue().forEach(chunk -> txn.put(Packing.key(job.id(), chunk), packing.pack(snapshot, chunk)));
                chunks.computeIfAbsent(job.id(), id -> new HashSet<>()).addAll(entry.getValue());
                batch.put(job, snapshot);
            }
        }
        taken.forEach(unwritten::remove);
        if (batch.isEmpty()) {
            return;
        }
        writing = true;
        store.commit(txn, Urgency.FIRST, outcome -> written(batch, outcome));
    }

    private void written(Map<Job, BitSet> batch, TxnOutcome outcome) {
        writing = false;
        if (!mine()) {
            return;
        }
        batch.forEach((job, snapshot) -> {
            if (outcome instanceof TxnOutcome.Committed) {
                job.recorded().or(snapshot);
                listener.recorded(job);
            } else if (!job.over() && !job.complete()) {
                snapshot.andNot(job.recorded());
                Set<Integer> again = unwritten.computeIfAbsent(job, key -> new LinkedHashSet<>());
                snapshot.stream().forEach(index -> again.add(packing.chunkOf(index)));
            }
        });
        if (!unwritten.isEmpty()) {
            schedule(outcome instanceof TxnOutcome.Committed ? batchMs : retryMs);
        }
    }

    // ---- ends

    /** Writes that a complete job is done. */
    public void end(Job job) {
        if (job.over() || !ending.add(job)) {
            return;
        }
        tryEnd(job);
    }

    private void tryEnd(Job job) {
        if (!mine() || job.over()) {
            ending.remove(job);
            return;
        }
        if (!leadership.confirmed()) {
            kernel.after(retryMs, () -> tryEnd(job));
            return;
        }
        FinalPhase phase = new FinalPhase(false, job.spec().tasks());
        Txn txn = new Txn().guard(Leadership.TERM, termRevision).guard(JobKeys.open(job.id()), job.open().revision())
                .drop(JobKeys.open(job.id())).put(JobKeys.over(job.id()), phase.toJson());
        Set<Integer> written = chunks.getOrDefault(job.id(), Set.of());
        written.stream().limit(store.txnOps() - txn.size()).forEach(chunk -> txn.drop(Packing.key(job.id(), chunk)));
        store.commit(txn, Urgency.FIRST, outcome -> {
            if (!mine()) {
                return;
            }
            if (outcome instanceof TxnOutcome.Committed) {
                ending.remove(job);
                chunks.remove(job.id());
                listener.ended(job, phase);
            } else if (outcome instanceof TxnOutcome.Conflict conflict
                    && conflict.failed().contains(JobKeys.open(job.id()))) {
                ending.remove(job);
                listener.endedOtherwise(job);
            } else {
                kernel.after(retryMs, () -> tryEnd(job));
            }
        });
    }
}
