package io.quartzgw.progress;

import com.fasterxml.jackson.databind.node.IntNode;
import io.quartzgw.eventloop.CoalescedTask;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.PackedRecords;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.TerminalState;
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
public final class ProgressRecorder {
    private static final double BATCH_HEARTBEATS = 0.2;
    private static final double RETRY_HEARTBEATS = 0.1;
    /**
     * The part of this node's changes that finishes may take. They can wait, since workers go on reporting them; the
     * more wait, the more go into one write.
     */
    private static final double FINISHES_WRITE_FRACTION = 0.25;

    /** The starts of so large a part of a job are recorded ahead, so that a job takes a few writes. */
    private static final double RECORDED_AHEAD_FRACTION = 0.5;

    private static final int START_RECORD_BYTES = 6;
    private static final String STARTED_SUFFIX = "started";

    private final EventLoop kernel;
    private final StoreClient store;
    private final LeaderTerm term;
    private final ProgressBitmaps packing;
    private final Listener listener;
    private final long batchMs;
    private final long retryMs;
    private final PackedRecords records;
    private final CoalescedTask write;
    private final Map<Job, Set<Integer>> unwrittenChunks = new LinkedHashMap<>();
    private final Map<Job, Integer> startsToRecord = new LinkedHashMap<>();
    private final Map<String, Set<Integer>> chunksByJob = new HashMap<>();
    private final Set<Job> completing = new HashSet<>();
    private boolean writeInFlight;
    private boolean paused;
    /** When finishes may be written again if no start has to be. */
    private long finishesWritableAt;

    /** What the rest of the leader wants to know of. */
    public interface Listener {
        /** More of the job's tasks may be started now. */
        void startsRecorded(Job job);

        /** Finishes of the job were written. */
        void finishesRecorded(Job job);

        /** The job is over in the state service. */
        void jobCompleted(Job job, TerminalState phase);

        /** The job's end could not be written: it has ended some other way. */
        void jobTerminatedElsewhere(Job job);
    }

    /** @param term guards every write: those of a later leader make them fail */
    public ProgressRecorder(EventLoop kernel, StoreClient store, LeaderTerm term, long reportMs, Listener listener) {
        this.kernel = kernel;
        this.write = new CoalescedTask(kernel, this::write);
        this.store = store;
        this.term = term;
        this.packing = new ProgressBitmaps(store.maxValueBytes());
        this.records = new PackedRecords(store, ProgressBitmaps.PREFIX, () -> new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision()));
        this.listener = listener;
        this.batchMs = (long) (BATCH_HEARTBEATS * reportMs);
        this.retryMs = (long) (RETRY_HEARTBEATS * reportMs);
    }

    /** Takes what a former leader has written. */
    public void load(List<KeyValue> entries, ClusterState cluster) {
        records.load(entries, (key, record) -> {
            Job job = cluster.job(ProgressBitmaps.jobOf(key));
            if (job == null) {
                records.removeLazily(key);
                return;
            }
            if (key.endsWith(STARTED_SUFFIX)) {
                job.recordedStartLimit(record.asInt());
                return;
            }
            packing.unpack(key, record, job.recordedDone());
            job.recordedDone().stream().forEach(index -> cluster.markDone(job, index));
            chunksByJob
                    .computeIfAbsent(job.id(), id -> new HashSet<>())
                    .add(Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
        });
    }

    /** A task is to be started: that has to be recorded before. */
    public void recordStart(Job job, int index) {
        int tasks = job.spec().tasks();
        startsToRecord.merge(
                job, Math.min(tasks, index + 1 + (int) Math.ceil(RECORDED_AHEAD_FRACTION * tasks)), Math::max);
    }

    /** Writes starts that are due; finishes go along. */
    public void flush() {
        if (!startsToRecord.isEmpty() && !paused) {
            write();
        }
    }

    /** A task has completed. */
    public void recordFinish(Job job, int index) {
        if (job.complete()) {
            // Its user expects the job to be done at once; the job's end says all of its progress.
            unwrittenChunks.remove(job);
            completeJob(job);
            return;
        }
        unwrittenChunks.computeIfAbsent(job, key -> new LinkedHashSet<>()).add(packing.chunkOf(index));
        write.schedule(Math.max(batchMs, finishesWritableAt - kernel.nowMs()));
    }

    /** Drops the progress of a job that is over. */
    public void forgetJob(String job) {
        records.removeLazily(startedKey(job));
        Set<Integer> written = chunksByJob.remove(job);
        if (written != null) {
            written.forEach(chunk -> records.removeLazily(ProgressBitmaps.key(job, chunk)));
        }
    }

    // ---- batches

    private void write() {
        if (!term.isCurrent() || writeInFlight || unwrittenChunks.isEmpty() && startsToRecord.isEmpty()) {
            return;
        }
        if (!term.isConfirmed()) {
            write.schedule(retryMs);
            return;
        }
        Map<Job, BitSet> batch = new LinkedHashMap<>();
        unwrittenChunks.forEach((job, changed) -> {
            if (!job.isTerminal()) {
                BitSet snapshot = (BitSet) job.done().clone();
                changed.forEach(chunk -> records.put(
                        ProgressBitmaps.key(job.id(), chunk),
                        packing.pack(snapshot, chunk),
                        packing.maxRecordLength(job.spec().tasks())));
                chunksByJob.computeIfAbsent(job.id(), id -> new HashSet<>()).addAll(changed);
                batch.put(job, snapshot);
            }
        });
        unwrittenChunks.clear();
        startsToRecord.keySet().removeIf(Job::isTerminal);
        Map<Job, Integer> starts = new LinkedHashMap<>();
        // A start that fell due while more was being recorded must not take that back.
        startsToRecord.forEach((job, below) -> starts.put(job, Math.max(below, job.recordedStartLimit())));
        startsToRecord.clear();
        starts.forEach((job, below) -> records.put(startedKey(job.id()), IntNode.valueOf(below), START_RECORD_BYTES));
        if (batch.isEmpty() && starts.isEmpty()) {
            return;
        }
        writeInFlight = true;
        finishesWritableAt = kernel.nowMs() + store.pauseMsAfter(records.dirtyPageCount(), FINISHES_WRITE_FRACTION);
        records.write(
                starts.isEmpty() ? RequestUrgency.BACKGROUND : RequestUrgency.HIGH,
                written -> onWritten(batch, starts, written));
    }

    private static String startedKey(String job) {
        return job + "/" + STARTED_SUFFIX;
    }

    private void onWritten(Map<Job, BitSet> batch, Map<Job, Integer> starts, boolean written) {
        writeInFlight = false;
        if (!term.isCurrent()) {
            return;
        }
        if (written) {
            starts.forEach((job, below) -> {
                job.recordedStartLimit(below);
                listener.startsRecorded(job);
            });
        } else {
            starts.forEach((job, below) -> startsToRecord.merge(job, below, Math::max));
            paused = true;
            kernel.after(retryMs, () -> paused = false);
        }
        batch.forEach((job, snapshot) -> {
            if (written) {
                job.recordedDone().or(snapshot);
                listener.finishesRecorded(job);
            } else if (!job.isTerminal() && !job.complete()) {
                snapshot.andNot(job.recordedDone());
                Set<Integer> again = unwrittenChunks.computeIfAbsent(job, key -> new LinkedHashSet<>());
                snapshot.stream().forEach(index -> again.add(packing.chunkOf(index)));
            }
        });
        if (!unwrittenChunks.isEmpty()) {
            write.schedule(written ? Math.max(batchMs, finishesWritableAt - kernel.nowMs()) : retryMs);
        }
    }

    // ---- ends

    /** Writes that a complete job is done. */
    public void completeJob(Job job) {
        if (job.isTerminal() || !completing.add(job)) {
            return;
        }
        writeCompletion(job);
    }

    private void writeCompletion(Job job) {
        if (!term.isCurrent() || job.isTerminal()) {
            completing.remove(job);
            return;
        }
        if (!term.isConfirmed()) {
            kernel.after(retryMs, () -> writeCompletion(job));
            return;
        }
        TerminalState phase = new TerminalState(false, job.spec().tasks());
        Transaction txn = new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision())
                .require(JobKeys.open(job.id()), job.open().revision())
                .delete(JobKeys.open(job.id()))
                .put(JobKeys.terminal(job.id()), phase.toJson());
        store.commit(txn, RequestUrgency.HIGH, outcome -> {
            if (!term.isCurrent()) {
                return;
            }
            if (outcome instanceof TransactionOutcome.Committed) {
                completing.remove(job);
                listener.jobCompleted(job, phase);
            } else if (outcome instanceof TransactionOutcome.Conflict conflict
                    && conflict.failedKeys().contains(JobKeys.open(job.id()))) {
                completing.remove(job);
                listener.jobTerminatedElsewhere(job);
            } else {
                kernel.after(retryMs, () -> writeCompletion(job));
            }
        });
    }
}
