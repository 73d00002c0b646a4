package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.BitSet;

/** Encodes a job's finished tasks as bitmaps, in chunks of which several fit into a value of the state service. */
public final class ProgressBitmaps {
    /** The prefix of the state service's keys that hold progress. */
    public static final String PREFIX = "prog/";
    /** The fraction of a value that one encoded bitmap may fill. */
    private static final double MAX_VALUE_FRACTION = 0.25;

    private static final int MIN_TASKS_PER_CHUNK = 64;
    private static final int BITS_PER_CHARACTER = 6;
    /** Quotes, and padding to whole bytes and groups of four characters. */
    private static final int MAX_ENCODING_OVERHEAD = 12;

    private final int tasksPerChunk;

    /** @param valueBytes the maximum size of a value of the state service */
    public ProgressBitmaps(int valueBytes) {
        this.tasksPerChunk =
                Math.max(MIN_TASKS_PER_CHUNK, ((int) (valueBytes * MAX_VALUE_FRACTION)) * BITS_PER_CHARACTER);
    }

    /** Returns the chunk that a task belongs to. */
    public int chunkOf(int task) {
        return task / tasksPerChunk;
    }

    /** Returns the key of a chunk's record. */
    public static String key(String job, int chunk) {
        return job + "/" + chunk;
    }

    /** Returns the ID of the job that a record belongs to. */
    public static String jobOf(String key) {
        return key.substring(0, key.lastIndexOf('/'));
    }

    /** Returns the chunk that the key of a record names. */
    static int chunkOfKey(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }

    /** Returns the maximum length of an encoded record of a job with so many tasks. */
    public int maxRecordLength(int tasks) {
        return Math.min(tasks, tasksPerChunk) / BITS_PER_CHARACTER + MAX_ENCODING_OVERHEAD;
    }

    /** Encodes the finished tasks of a chunk. */
    public JsonNode encode(BitSet done, int chunk) {
        int from = chunk * tasksPerChunk;
        return BinaryNode.valueOf(done.get(from, from + tasksPerChunk).toByteArray());
    }

    /** Decodes a chunk's record and adds its tasks to a set. */
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
