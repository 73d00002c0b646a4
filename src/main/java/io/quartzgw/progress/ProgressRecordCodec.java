package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.IntNode;
import io.quartzgw.http.Json;
import java.io.IOException;
import java.util.BitSet;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Encodes the progress of a job in records: completed tasks as bitmaps, each of a range of consecutive tasks, and the
 * start limit as a number.
 *
 * <p>A bitmap record states which task its first bit stands for, so its meaning depends neither on the settings nor on
 * the version of the controller that reads it. The value is an array of the first task and the bitmap. A record of the
 * first range is the bitmap alone under a key that ends in 0, as in earlier versions, which read it in the same way.
 *
 * <p>Earlier versions also stored bitmaps alone under keys that end in the number of a chunk, whose size followed from
 * the settings of the writer. Which tasks these stand for can't be told, so they are not decoded.
 */
final class ProgressRecordCodec {
    /** The number of tasks of a record that is written: its bitmap takes a quarter of a value of 1 KiB. */
    static final int TASKS_PER_RECORD = 1_536;

    private static final String FIRST_RANGE_SUFFIX = "/0";
    private static final String START_LIMIT_SUFFIX = "/started";
    private static final int FIRST_TASK_FIELD = 0;
    private static final int BITMAP_FIELD = 1;
    private static final int FIELDS = 2;
    private static final int BITS_PER_CHARACTER = 6;
    /** Covers the first task, brackets, quotes, and padding to whole bytes and to groups of four characters. */
    private static final int MAX_ENCODING_OVERHEAD = 20;

    private ProgressRecordCodec() {}

    /** Returns the first task of the range that a task belongs to. */
    static int rangeOf(int task) {
        return task - task % TASKS_PER_RECORD;
    }

    /** Returns the ID of the job that a record key refers to. */
    static String jobOf(String key) {
        return key.substring(0, Math.max(0, key.lastIndexOf('/')));
    }

    // ---- start limits

    /** Returns the key of the record of a job's start limit. */
    static String startLimitKey(String job) {
        return job + START_LIMIT_SUFFIX;
    }

    static JsonNode encodeStartLimit(int limit) {
        return IntNode.valueOf(limit);
    }

    /** Returns a start limit, or empty if the record is not a number of tasks. */
    static OptionalInt decodeStartLimit(JsonNode record) {
        return record.isInt() && record.asInt() >= 0 ? OptionalInt.of(record.asInt()) : OptionalInt.empty();
    }

    // ---- completed tasks

    /** Returns the key of the record of a range of tasks. */
    static String key(String job, int firstTask) {
        return job + "/" + firstTask;
    }

    /** Returns the maximum length of an encoded record of a job with the given number of tasks. */
    static int maxRecordLength(int tasks) {
        return Math.min(tasks, TASKS_PER_RECORD) / BITS_PER_CHARACTER + MAX_ENCODING_OVERHEAD;
    }

    /** Returns the completed tasks of a range. */
    static BitSet inRange(BitSet completed, int firstTask) {
        return completed.get(firstTask, firstTask + TASKS_PER_RECORD);
    }

    /** Encodes the completed tasks of a range. */
    static JsonNode encode(BitSet completed, int firstTask) {
        BinaryNode bitmap = BinaryNode.valueOf(inRange(completed, firstTask).toByteArray());
        return firstTask == 0 ? bitmap : Json.array().add(firstTask).add(bitmap);
    }

    /**
     * Returns the completed tasks of a job that a record states, or empty if it can't be told which tasks these are.
     *
     * @param tasks the number of tasks of the job
     */
    static Optional<BitSet> decode(String key, JsonNode record, int tasks) {
        if (!record.isArray()) {
            return key.endsWith(FIRST_RANGE_SUFFIX) ? decodeBitmap(record, 0, tasks) : Optional.empty();
        }
        JsonNode firstTask = record.path(FIRST_TASK_FIELD);
        boolean isRange =
                record.size() == FIELDS && firstTask.isInt() && firstTask.asInt() >= 0 && firstTask.asInt() < tasks;
        return isRange ? decodeBitmap(record.path(BITMAP_FIELD), firstTask.asInt(), tasks) : Optional.empty();
    }

    private static Optional<BitSet> decodeBitmap(JsonNode bitmap, int firstTask, int tasks) {
        return decodeBytes(bitmap)
                .map(BitSet::valueOf)
                .map(bits -> shift(bits, firstTask))
                .filter(completed -> completed.length() <= tasks);
    }

    private static Optional<byte[]> decodeBytes(JsonNode bitmap) {
        try {
            return Optional.ofNullable(bitmap.binaryValue());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static BitSet shift(BitSet bits, int firstTask) {
        BitSet completed = new BitSet();
        bits.stream().forEach(bit -> completed.set(firstTask + bit));
        return completed;
    }
}
