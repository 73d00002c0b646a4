package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The stored records of the progress of open jobs: bitmaps of completed tasks in chunks, and a start limit per job. */
final class ProgressRecords {
    private static final Logger LOG = LoggerFactory.getLogger(ProgressRecords.class);

    private static final int START_LIMIT_RECORD_BYTES = 6;
    private static final String START_LIMIT_KEY = "started";

    private final LeaderTerm term;
    private final PackedRecords records;
    private final ProgressBitmaps bitmaps;
    /** The chunks that have a record, by job ID. */
    private final Map<String, Set<Integer>> chunksByJob = new HashMap<>();

    /** @param term guards every write, so that it fails if another leader has been elected */
    ProgressRecords(StoreClient store, LeaderTerm term) {
        this.term = term;
        this.bitmaps = new ProgressBitmaps(store.maxValueBytes());
        this.records = new PackedRecords(store, ProgressBitmaps.PREFIX, () -> new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision()));
    }

    /** Loads the progress that previous leaders have recorded into the cluster state. */
    void load(List<KeyValue> entries, ClusterState cluster) {
        records.load(entries, (key, record) -> loadRecord(key, record, cluster));
        cluster.jobs().forEach(this::logLoadedProgress);
        LOG.atInfo()
                .addKeyValue("term", term.number())
                .addKeyValue("jobs", chunksByJob.size())
                .addKeyValue(
                        "completed_tasks",
                        cluster.jobs().stream().mapToInt(Job::completedCount).sum())
                .log("progress loaded");
    }

    private void logLoadedProgress(Job job) {
        LOG.atDebug()
                .addKeyValue("job", job.id())
                .addKeyValue("completed_tasks", job.completedCount())
                .addKeyValue("start_limit", job.recordedStartLimit())
                .addKeyValue("records", chunksByJob.getOrDefault(job.id(), Set.of()))
                .log("progress of job loaded");
    }

    private void loadRecord(String key, JsonNode record, ClusterState cluster) {
        Optional<Job> openJob = cluster.findJob(ProgressBitmaps.jobOf(key));
        if (openJob.isEmpty()) {
            records.removeLazily(key);
            return;
        }
        Job job = openJob.get();
        if (key.endsWith(START_LIMIT_KEY)) {
            job.recordedStartLimit(record.asInt());
        } else {
            bitmaps.decode(key, record, job.recordedCompleted());
            job.recordedCompleted().stream().forEach(index -> cluster.markCompleted(job, index));
            chunksWithRecord(job.id()).add(ProgressBitmaps.chunkOfKey(key));
        }
    }

    private Set<Integer> chunksWithRecord(String job) {
        return chunksByJob.computeIfAbsent(job, id -> new HashSet<>());
    }

    /** Returns the index of the chunk that a task belongs to. */
    int chunkOf(int task) {
        return bitmaps.chunkOf(task);
    }

    /** Replaces the records of some chunks of a job with the next write. */
    void putCompletedTasks(Job job, BitSet completedTasks, Set<Integer> chunks) {
        int maxLength = bitmaps.maxRecordLength(job.spec().tasks());
        for (int chunk : chunks) {
            records.put(ProgressBitmaps.key(job.id(), chunk), bitmaps.encode(completedTasks, chunk), maxLength);
        }
        chunksWithRecord(job.id()).addAll(chunks);
    }

    /** Replaces the start limit of a job with the next write. */
    void putStartLimit(Job job, int limit) {
        records.put(startLimitKey(job.id()), IntNode.valueOf(limit), START_LIMIT_RECORD_BYTES);
    }

    /** Removes the records of a job that has ended, as part of the next write of their pages. */
    void removeJob(String job) {
        records.removeLazily(startLimitKey(job));
        Set<Integer> chunks = chunksByJob.remove(job);
        if (chunks != null) {
            chunks.forEach(chunk -> records.removeLazily(ProgressBitmaps.key(job, chunk)));
        }
    }

    private static String startLimitKey(String job) {
        return job + "/" + START_LIMIT_KEY;
    }

    /** The number of pages that the next write includes. */
    int dirtyPageCount() {
        return records.dirtyPageCount();
    }

    /** Writes all changes made so far, and passes to the callback whether all of them were stored. */
    void write(RequestUrgency urgency, Consumer<Boolean> callback) {
        records.write(urgency, callback);
    }
}
