package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.BitSet;

/** Encodes a job's completed tasks as bitmaps in chunks; several chunks fit into one value of the state service. */
public final class ProgressBitmaps {
    /** Key prefix of progress records in the state service. */
    public static final String PREFIX = "prog/";
    /** The fraction of the maximum value size that one encoded bitmap may use. */
    private static final double MAX_VALUE_FRACTION = 0.25;

    private static final int MIN_TASKS_PER_CHUNK = 64;
    private static final int BITS_PER_CHARACTER = 6;
    /** Covers quotes, and padding to whole bytes and to groups of four characters. */
    private static final int MAX_ENCODING_OVERHEAD = 12;

    private final int tasksPerChunk;

    /** @param maxValueBytes the maximum size of a value in the state service */
    public ProgressBitmaps(int maxValueBytes) {
        this.tasksPerChunk =
                Math.max(MIN_TASKS_PER_CHUNK, ((int) (maxValueBytes * MAX_VALUE_FRACTION)) * BITS_PER_CHARACTER);
    }

    /** Returns the index of the chunk that a task belongs to. */
    public int chunkOf(int task) {
        return task / tasksPerChunk;
    }

    /** Returns the key of a chunk's record. */
    public static String key(String job, int chunk) {
        return job + "/" + chunk;
    }

    /** Returns the ID of the job that a record key refers to. */
    public static String jobOf(String key) {
        return key.substring(0, key.lastIndexOf('/'));
    }

    /** Returns the index of the chunk that a record key refers to. */
    static int chunkOfKey(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }

    /** Returns the maximum length of an encoded record of a job with the given number of tasks. */
    public int maxRecordLength(int tasks) {
        return Math.min(tasks, tasksPerChunk) / BITS_PER_CHARACTER + MAX_ENCODING_OVERHEAD;
    }

    /** Encodes the completed tasks of a chunk. */
    public JsonNode encode(BitSet completed, int chunk) {
        int from = chunk * tasksPerChunk;
        return BinaryNode.valueOf(completed.get(from, from + tasksPerChunk).toByteArray());
    }

    /** Decodes a chunk's record and adds its completed tasks to a set. */
    public void decode(String key, JsonNode record, BitSet target) {
        int from = chunkOfKey(key) * tasksPerChunk;
        try {
            byte[] bits = record.binaryValue();
            if (bits != null) {
                BitSet.valueOf(bits).stream().forEach(bit -> target.set(from + bit));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("unreadable progress record " + key, e);
        }
    }
}
