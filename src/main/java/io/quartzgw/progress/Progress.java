package io.quartzgw.progress;

import com.fasterxml.jackson.databind.node.IntNode;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.CoalescedTask;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.store.Entry;
import io.quartzgw.store.PackedRecords;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.TxnOutcome;
import io.quartzgw.store.Urgency;
import io.quartzgw.submission.FinalPhase;
import io.quartzgw.submission.JobKeys;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes finishes in batches, the end of a job with its last finish, and ahead of the first starts how many of a job's
 * tasks may have been started: after a takeover the others are surely nowhere.
 */
public final class Progress {
    private static final double BATCH_REPORTS = 0.2;
    private static final double RETRY_REPORTS = 0.1;
    /**
     * The part of this node's changes that finishes may take. They can wait, since workers go on reporting them; the
     * more wait, the more go into one write.
     */
    private static final double FINISHES_PART = 0.25;

    /** The starts of so large a part of a job are recorded ahead, so that a job takes a few writes. */
    private static final double AHEAD = 0.5;

    private static final int START_BYTES = 6;
    private static final String STARTED = "started";

    private final Kernel kernel;
    private final StoreClient store;
    private final LeaderTerm term;
    private final Packing packing;
    private final Listener listener;
    private final long batchMs;
    private final long retryMs;
    private final PackedRecords records;
    private final CoalescedTask write;
    private final Map<Job, Set<Integer>> unwritten = new LinkedHashMap<>();
    private final Map<Job, Integer> toStart = new LinkedHashMap<>();
    private final Map<String, Set<Integer>> chunks = new HashMap<>();
    private final Set<Job> ending = new HashSet<>();
    private boolean writing;
    private boolean paused;
    /** When finishes may be written again if no start has to be. */
    private long finishesAt;

    /** What the rest of the leader wants to know of. */
    public interface Listener {
        /** More of the job's tasks may be started now. */
        void startable(Job job);

        /** Finishes of the job were written. */
        void recorded(Job job);

        /** The job is over in the state service. */
        void ended(Job job, FinalPhase phase);

        /** The job's end could not be written: it has ended some other way. */
        void endedOtherwise(Job job);
    }

    /** @param term guards every write: those of a later leader make them fail */
    public Progress(Kernel kernel, StoreClient store, LeaderTerm term, long reportMs, Listener listener) {
        this.kernel = kernel;
        this.write = new CoalescedTask(kernel, this::write);
        this.store = store;
        this.term = term;
        this.packing = new Packing(store.valueBytes());
        this.records =
                new PackedRecords(store, Packing.PREFIX, () -> new Txn().guard(Leadership.TERM, term.revision()));
        this.listener = listener;
        this.batchMs = (long) (BATCH_REPORTS * reportMs);
        this.retryMs = (long) (RETRY_REPORTS * reportMs);
    }

    /** Takes what a former leader has written. */
    public void load(List<Entry> entries, Cluster cluster) {
        records.load(entries, (key, record) -> {
            Job job = cluster.job(Packing.jobOf(key));
            if (job == null) {
                records.removeLater(key);
                return;
            }
            if (key.endsWith(STARTED)) {
                job.startBelow(record.asInt());
                return;
            }
            packing.unpack(key, record, job.recorded());
            job.recorded().stream().forEach(index -> cluster.markDone(job, index));
            chunks.computeIfAbsent(job.id(), id -> new HashSet<>())
                    .add(Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
        });
    }

    /** A task is to be started: that has to be recorded before. */
    public void starting(Job job, int index) {
        int tasks = job.spec().tasks();
        toStart.merge(job, Math.min(tasks, index + 1 + (int) Math.ceil(AHEAD * tasks)), Math::max);
    }

    /** Writes starts that are due; finishes go along. */
    public void flush() {
        if (!toStart.isEmpty() && !paused) {
            write();
        }
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
        write.after(Math.max(batchMs, finishesAt - kernel.now()));
    }

    /** Drops the progress of a job that is over. */
    public void dropped(String job) {
        records.removeLater(started(job));
        Set<Integer> written = chunks.remove(job);
        if (written != null) {
            written.forEach(chunk -> records.removeLater(Packing.key(job, chunk)));
        }
    }

    // ---- batches

    private void write() {
        if (!term.current() || writing || unwritten.isEmpty() && toStart.isEmpty()) {
            return;
        }
        if (!term.confirmed()) {
            write.after(retryMs);
            return;
        }
        Map<Job, BitSet> batch = new LinkedHashMap<>();
        unwritten.forEach((job, changed) -> {
            if (!job.over()) {
                BitSet snapshot = (BitSet) job.done().clone();
                changed.forEach(chunk -> records.put(
                        Packing.key(job.id(), chunk),
                        packing.pack(snapshot, chunk),
                        packing.reserved(job.spec().tasks())));
                chunks.computeIfAbsent(job.id(), id -> new HashSet<>()).addAll(changed);
                batch.put(job, snapshot);
            }
        });
        unwritten.clear();
        toStart.keySet().removeIf(Job::over);
        Map<Job, Integer> starts = new LinkedHashMap<>();
        // A start that fell due while more was being recorded must not take that back.
        toStart.forEach((job, below) -> starts.put(job, Math.max(below, job.startBelow())));
        toStart.clear();
        starts.forEach((job, below) -> records.put(started(job.id()), IntNode.valueOf(below), START_BYTES));
        if (batch.isEmpty() && starts.isEmpty()) {
            return;
        }
        writing = true;
        finishesAt = kernel.now() + store.pauseMsAfter(records.changedPages(), FINISHES_PART);
        records.write(starts.isEmpty() ? Urgency.LAST : Urgency.FIRST, written -> written(batch, starts, written));
    }

    private static String started(String job) {
        return job + "/" + STARTED;
    }

    private void written(Map<Job, BitSet> batch, Map<Job, Integer> starts, boolean written) {
        writing = false;
        if (!term.current()) {
            return;
        }
        if (written) {
            starts.forEach((job, below) -> {
                job.startBelow(below);
                listener.startable(job);
            });
        } else {
            starts.forEach((job, below) -> toStart.merge(job, below, Math::max));
            paused = true;
            kernel.after(retryMs, () -> paused = false);
        }
        batch.forEach((job, snapshot) -> {
            if (written) {
                job.recorded().or(snapshot);
                listener.recorded(job);
            } else if (!job.over() && !job.complete()) {
                snapshot.andNot(job.recorded());
                Set<Integer> again = unwritten.computeIfAbsent(job, key -> new LinkedHashSet<>());
                snapshot.stream().forEach(index -> again.add(packing.chunkOf(index)));
            }
        });
        if (!unwritten.isEmpty()) {
            write.after(written ? Math.max(batchMs, finishesAt - kernel.now()) : retryMs);
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
        if (!term.current() || job.over()) {
            ending.remove(job);
            return;
        }
        if (!term.confirmed()) {
            kernel.after(retryMs, () -> tryEnd(job));
            return;
        }
        FinalPhase phase = new FinalPhase(false, job.spec().tasks());
        Txn txn = new Txn()
                .guard(Leadership.TERM, term.revision())
                .guard(JobKeys.open(job.id()), job.open().revision())
                .drop(JobKeys.open(job.id()))
                .put(JobKeys.over(job.id()), phase.toJson());
        store.commit(txn, Urgency.FIRST, outcome -> {
            if (!term.current()) {
                return;
            }
            if (outcome instanceof TxnOutcome.Committed) {
                ending.remove(job);
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
