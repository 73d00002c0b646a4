package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored records of the progress of open jobs: bitmaps of completed tasks in ranges, and a start limit per job.
 *
 * <p>Records of another version may be laid out in other ranges. Since a completed task remains completed, all readable
 * records of a job are true together, however they overlap. A record that can't be read states no completed task; its
 * tasks are started again, and an agent that still has the result of such a task reports it without running it.
 */
final class ProgressRecords {
    private static final Logger LOG = LoggerFactory.getLogger(ProgressRecords.class);

    private static final int START_LIMIT_RECORD_BYTES = 6;

    private final EventLoop eventLoop;
    private final LeaderTerm term;
    private final PackedRecords records;
    /** The keys of the records of completed tasks, by job ID. */
    private final Map<String, Set<String>> keysByJob = new HashMap<>();

    /** @param term guards every write, so that it fails if another leader has been elected */
    ProgressRecords(EventLoop eventLoop, StoreClient store, LeaderTerm term) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.records = new PackedRecords(store, ProgressRecorder.PREFIX, () -> new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision()));
    }

    // ---- loading

    /**
     * Loads the progress that previous leaders have recorded into the cluster state.
     *
     * @return the ranges by job, given by their first tasks, with completed tasks that only a record of other ranges
     *     states; they have to be written before that record is replaced
     */
    Map<Job, Set<Integer>> load(List<KeyValue> entries, ClusterState cluster) {
        Map<Job, Set<Integer>> rangesToWrite = new LinkedHashMap<>();
        records.load(entries, (key, record) -> loadRecord(key, record, cluster, rangesToWrite));
        logLoaded(cluster);
        return rangesToWrite;
    }

    private void loadRecord(String key, JsonNode record, ClusterState cluster, Map<Job, Set<Integer>> rangesToWrite) {
        Optional<Job> openJob = cluster.findJob(ProgressRecordCodec.jobOf(key));
        if (openJob.isEmpty()) {
            records.removeLazily(key);
            return;
        }
        Job job = openJob.get();
        if (key.equals(ProgressRecordCodec.startLimitKey(job.id()))) {
            loadStartLimit(job, key, record);
            return;
        }
        Optional<BitSet> completed =
                ProgressRecordCodec.decode(key, record, job.spec().tasks());
        if (completed.isEmpty()) {
            reportUnreadable(key);
            records.removeLazily(key);
            return;
        }
        keysOf(job).add(key);
        job.recordedCompleted().or(completed.get());
        completed.get().stream().forEach(task -> cluster.markCompleted(job, task));
        Set<Integer> otherRanges = rangesWithOtherKeys(job, key, completed.get());
        if (!otherRanges.isEmpty()) {
            rangesToWrite.computeIfAbsent(job, range -> new TreeSet<>()).addAll(otherRanges);
        }
    }

    private void loadStartLimit(Job job, String key, JsonNode record) {
        OptionalInt limit = ProgressRecordCodec.decodeStartLimit(record);
        if (limit.isEmpty()) {
            reportUnreadable(key);
        }
        // Without a readable limit, any task may have been started.
        job.recordedStartLimit(limit.orElse(job.spec().tasks()));
    }

    private static Set<Integer> rangesWithOtherKeys(Job job, String key, BitSet completed) {
        Set<Integer> ranges = new TreeSet<>();
        for (int task = completed.nextSetBit(0); task >= 0; ) {
            int firstTask = ProgressRecordCodec.rangeOf(task);
            if (!ProgressRecordCodec.key(job.id(), firstTask).equals(key)) {
                ranges.add(firstTask);
            }
            task = completed.nextSetBit(firstTask + ProgressRecordCodec.TASKS_PER_RECORD);
        }
        return ranges;
    }

    private Set<String> keysOf(Job job) {
        return keysByJob.computeIfAbsent(job.id(), id -> new HashSet<>());
    }

    private void reportUnreadable(String key) {
        eventLoop.increment("progress.unreadable_records", 1);
        LOG.atWarn().addKeyValue("key", key).addKeyValue("term", term.number()).log("progress record unreadable");
    }

    private void logLoaded(ClusterState cluster) {
        cluster.jobs().forEach(job -> LOG.atDebug()
                .addKeyValue("job", job.id())
                .addKeyValue("completed_tasks", job.completedCount())
                .addKeyValue("start_limit", job.recordedStartLimit())
                .addKeyValue("records", keysByJob.getOrDefault(job.id(), Set.of()))
                .log("progress of job loaded"));
        LOG.atInfo()
                .addKeyValue("term", term.number())
                .addKeyValue("jobs", keysByJob.size())
                .addKeyValue(
                        "completed_tasks",
                        cluster.jobs().stream().mapToInt(Job::completedCount).sum())
                .log("progress loaded");
    }

    // ---- changes

    /**
     * Replaces the records of some ranges of a job with the next write.
     *
     * @param ranges the first tasks of the ranges
     */
    void putCompletedTasks(Job job, BitSet completedTasks, Set<Integer> ranges) {
        int maxLength = ProgressRecordCodec.maxRecordLength(job.spec().tasks());
        for (int firstTask : ranges) {
            String key = ProgressRecordCodec.key(job.id(), firstTask);
            records.put(key, ProgressRecordCodec.encode(completedTasks, firstTask), maxLength);
            keysOf(job).add(key);
        }
    }

    /** Replaces the start limit of a job with the next write. */
    void putStartLimit(Job job, int limit) {
        records.put(
                ProgressRecordCodec.startLimitKey(job.id()),
                ProgressRecordCodec.encodeStartLimit(limit),
                START_LIMIT_RECORD_BYTES);
    }

    /** Removes the records of a job that has ended, as part of the next write of their pages. */
    void removeJob(String job) {
        records.removeLazily(ProgressRecordCodec.startLimitKey(job));
        Set<String> keys = keysByJob.remove(job);
        if (keys != null) {
            keys.forEach(records::removeLazily);
        }
    }

    // ---- writes

    /** The number of pages that the next write includes. */
    int dirtyPageCount() {
        return records.dirtyPageCount();
    }

    /** Writes all changes made so far, and passes to the callback whether all of them were stored. */
    void write(RequestUrgency urgency, Consumer<Boolean> callback) {
        records.write(urgency, callback);
    }
}
