package io.quartzgw.progress;

import io.quartzgw.eventloop.CoalescedTask;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.TerminalState;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the progress of jobs in the state service: completed tasks in batches, and a start limit for each job. Only
 * tasks with an index below the limit may have been started, since the limit is written before the starts that it
 * covers are sent. After a failover, the tasks from the limit on are therefore known not to run anywhere.
 */
public final class ProgressRecorder {
    /** Key prefix of progress records in the state service. */
    public static final String PREFIX = "prog/";

    private static final double BATCH_HEARTBEATS = 0.2;
    private static final double RETRY_HEARTBEATS = 0.1;
    /**
     * The fraction of this controller's write budget that completed tasks may use. Their writes can be delayed, since
     * agents report them until they are recorded. A longer delay only makes the next write larger.
     */
    private static final double COMPLETED_TASKS_WRITE_FRACTION = 0.25;
    /** The fraction of a job's tasks by which its start limit is raised ahead, to keep the number of writes low. */
    private static final double START_LIMIT_AHEAD_FRACTION = 0.5;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final Listener listener;
    private final ProgressRecords records;
    private final JobCompletionWriter completionWriter;
    private final CoalescedTask writeTask;
    private final long batchMs;
    private final long retryDelayMs;
    /** The ranges with completed tasks that are not written yet, given by their first tasks. */
    private final Map<Job, Set<Integer>> unwrittenRanges = new LinkedHashMap<>();

    private final Map<Job, Integer> unwrittenStartLimits = new LinkedHashMap<>();

    private boolean writeInFlight;
    private boolean retryDelayed;
    /** When completed tasks may be written again; they are written earlier if a start limit is. */
    private long nextCompletedTasksWriteAtMs;

    /** Notified of recorded progress that other parts of the leader must act on. */
    public interface Listener {
        /** A job's start limit has been raised, so that more of its tasks may be started. */
        void startLimitRaised(Job job);

        /** Completed tasks of a job have been recorded. */
        void completedTasksRecorded(Job job);

        /** The completion of a job has been recorded. */
        void jobCompleted(Job job, TerminalState terminalState);

        /**
         * A job is no longer open in the state service: it was cancelled, or an earlier write of its completion with an
         * unknown outcome has succeeded.
         */
        void jobNoLongerOpen(Job job);
    }

    /** The progress that one write records. */
    private record Batch(Map<Job, BitSet> completedTasks, Map<Job, Integer> startLimits) {
        boolean isEmpty() {
            return completedTasks.isEmpty() && startLimits.isEmpty();
        }
    }

    /**
     * Creates the recorder for one term.
     *
     * @param term guards every write, so that it fails if another leader has been elected
     * @param heartbeatMs the heartbeat interval of agents
     */
    public ProgressRecorder(
            EventLoop eventLoop, StoreClient store, LeaderTerm term, long heartbeatMs, Listener listener) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
        this.listener = listener;
        this.records = new ProgressRecords(eventLoop, store, term);
        this.batchMs = (long) (BATCH_HEARTBEATS * heartbeatMs);
        this.retryDelayMs = (long) (RETRY_HEARTBEATS * heartbeatMs);
        this.completionWriter = new JobCompletionWriter(eventLoop, store, term, retryDelayMs, listener);
        this.writeTask = new CoalescedTask(eventLoop, this::write);
    }

    // ---- stored records

    /** Loads the progress that previous leaders have recorded into the cluster state. */
    public void load(List<KeyValue> entries, ClusterState cluster) {
        unwrittenRanges.putAll(records.load(entries, cluster));
        if (!unwrittenRanges.isEmpty()) {
            scheduleWrite();
        }
    }

    /** Removes the progress records of a job that has ended, as part of the next write. */
    public void removeJob(String job) {
        records.removeJob(job);
    }

    // ---- progress to be recorded

    /** Requests a write that raises a job's start limit above a task's index. */
    public void requestStartLimitAbove(Job job, int index) {
        int tasks = job.spec().tasks();
        int limit = index + 1 + (int) Math.ceil(START_LIMIT_AHEAD_FRACTION * tasks);
        unwrittenStartLimits.merge(job, Math.min(tasks, limit), Math::max);
    }

    /**
     * Writes the requested start limits along with the completed tasks; called at the end of every event loop batch.
     */
    public void flush() {
        if (!unwrittenStartLimits.isEmpty() && !retryDelayed) {
            write();
        }
    }

    /** Requests a write of a completed task, or of the completion of its job if all its tasks have completed. */
    public void recordCompletedTask(Job job, int index) {
        if (job.isComplete()) {
            // Written without delay, since the user expects the job to end immediately. The completion replaces all of
            // the job's progress.
            unwrittenRanges.remove(job);
            completeJob(job);
            return;
        }
        addUnwrittenRange(job, ProgressRecordCodec.rangeOf(index));
        scheduleWrite();
    }

    /** Requests a write of the completion of a job. */
    public void completeJob(Job job) {
        completionWriter.complete(job);
    }

    private void addUnwrittenRange(Job job, int firstTask) {
        unwrittenRanges.computeIfAbsent(job, key -> new LinkedHashSet<>()).add(firstTask);
    }

    private void scheduleWrite() {
        writeTask.schedule(Math.max(batchMs, nextCompletedTasksWriteAtMs - eventLoop.nowMs()));
    }

    // ---- writes

    private void write() {
        if (!term.isCurrent() || writeInFlight || (unwrittenRanges.isEmpty() && unwrittenStartLimits.isEmpty())) {
            return;
        }
        if (!term.isConfirmed()) {
            writeTask.schedule(retryDelayMs);
            return;
        }
        Batch batch = new Batch(takeCompletedTasks(), takeStartLimits());
        if (batch.isEmpty()) {
            return;
        }
        writeInFlight = true;
        nextCompletedTasksWriteAtMs =
                eventLoop.nowMs() + store.writePauseMs(records.dirtyPageCount(), COMPLETED_TASKS_WRITE_FRACTION);
        RequestUrgency urgency = batch.startLimits().isEmpty() ? RequestUrgency.BACKGROUND : RequestUrgency.HIGH;
        records.write(urgency, written -> onWritten(batch, written));
    }

    private Map<Job, BitSet> takeCompletedTasks() {
        Map<Job, BitSet> completedTasks = new LinkedHashMap<>();
        unwrittenRanges.forEach((job, ranges) -> {
            if (!job.isTerminal()) {
                completedTasks.put(job, putCompletedTasks(job, ranges));
            }
        });
        unwrittenRanges.clear();
        return completedTasks;
    }

    private BitSet putCompletedTasks(Job job, Set<Integer> ranges) {
        BitSet snapshot = (BitSet) job.completedTasks().clone();
        records.putCompletedTasks(job, snapshot, ranges);
        return snapshot;
    }

    private Map<Job, Integer> takeStartLimits() {
        Map<Job, Integer> limits = new LinkedHashMap<>();
        unwrittenStartLimits.forEach((job, limit) -> {
            if (!job.isTerminal()) {
                // A higher limit may have been recorded since this one was requested.
                limits.put(job, Math.max(limit, job.recordedStartLimit()));
            }
        });
        unwrittenStartLimits.clear();
        limits.forEach(records::putStartLimit);
        return limits;
    }

    private void onWritten(Batch batch, boolean written) {
        writeInFlight = false;
        if (!term.isCurrent()) {
            return;
        }
        if (written) {
            onWriteSucceeded(batch);
        } else {
            onWriteFailed(batch);
        }
    }

    private void onWriteSucceeded(Batch batch) {
        batch.startLimits().forEach((job, limit) -> {
            job.recordedStartLimit(limit);
            listener.startLimitRaised(job);
        });
        batch.completedTasks().forEach((job, snapshot) -> {
            job.recordedCompleted().or(snapshot);
            listener.completedTasksRecorded(job);
        });
        if (!unwrittenRanges.isEmpty()) {
            scheduleWrite();
        }
    }

    private void onWriteFailed(Batch batch) {
        batch.startLimits().forEach((job, limit) -> unwrittenStartLimits.merge(job, limit, Math::max));
        retryDelayed = true;
        eventLoop.after(retryDelayMs, () -> retryDelayed = false);
        batch.completedTasks().forEach((job, snapshot) -> {
            if (!job.isTerminal() && !job.isComplete()) {
                snapshot.andNot(job.recordedCompleted());
                unwrittenRanges.computeIfAbsent(job, key -> new LinkedHashSet<>());
                snapshot.stream().forEach(index -> addUnwrittenRange(job, ProgressRecordCodec.rangeOf(index)));
            }
        });
        if (!unwrittenRanges.isEmpty()) {
            writeTask.schedule(retryDelayMs);
        }
    }
}
