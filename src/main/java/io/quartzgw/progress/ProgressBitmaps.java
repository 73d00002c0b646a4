package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.BitSet;

/** Packs a job's finished tasks into bitmaps, split so that several fit into a value of the state service. */
public final class ProgressBitmaps {
    public static final String PREFIX = "prog/";
    /** The part of a value that one bitmap may fill as text. */
    private static final double MAX_VALUE_FRACTION = 0.25;

    private static final int BITS_PER_CHARACTER = 6;
    /** Quotes, and padding to whole bytes and groups of four characters. */
    private static final int ENCODING_MARGIN = 12;

    private final int tasksPerChunk;

    public ProgressBitmaps(int valueBytes) {
        this.tasksPerChunk = Math.max(64, (int) (valueBytes * MAX_VALUE_FRACTION) * BITS_PER_CHARACTER);
    }

    public int chunkOf(int task) {
        return task / tasksPerChunk;
    }

    /** Names a record of a job. */
    public static String key(String job, int chunk) {
        return job + "/" + chunk;
    }

    /** The job that a record belongs to. */
    public static String jobOf(String key) {
        return key.substring(0, key.lastIndexOf('/'));
    }

    /** How long a record of a job with so many tasks can grow. */
    public int maxRecordLength(int tasks) {
        return Math.min(tasks, tasksPerChunk) / BITS_PER_CHARACTER + ENCODING_MARGIN;
    }

    public JsonNode pack(BitSet done, int chunk) {
        int from = chunk * tasksPerChunk;
        return BinaryNode.valueOf(done.get(from, from + tasksPerChunk).toByteArray());
    }

    /** Adds the tasks of a record to a set. */
    public void unpack(String key, JsonNode record, BitSet into) {
        int from = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)) * tasksPerChunk;
        try {
            byte[] bits = record.binaryValue();
            if (bits != null) {
                BitSet.valueOf(bits).stream().forEach(bit -> into.set(from + bit));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("unreadable progress " + key, e);
        }
    }
}
