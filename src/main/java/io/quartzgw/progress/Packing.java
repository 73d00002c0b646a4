package io.quartzgw.progress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.BitSet;

/** Packs a job's finished tasks into values of the state service, split by the size of a value. */
public final class Packing {
    public static final String PREFIX = "prog/";
    /** The part of a value that the bitmap may fill as text; the rest is for the field's name. */
    private static final double FILLED = 0.5;
    private static final int BITS_PER_CHARACTER = 6;

    private final int tasksPerChunk;

    public Packing(int valueBytes) {
        this.tasksPerChunk = Math.max(64, (int) (valueBytes * FILLED) * BITS_PER_CHARACTER);
    }

    public int chunkOf(int task) {
        return task / tasksPerChunk;
    }

    public static String key(String job, int chunk) {
        return PREFIX + job + "/" + chunk;
    }

    /** The job that a key's value belongs to. */
    public static String jobOf(String key) {
        return key.substring(PREFIX.length(), key.lastIndexOf('/'));
    }

    public ObjectNode pack(BitSet done, int chunk) {
        int from = chunk * tasksPerChunk;
        return Json.object().put("done", done.get(from, from + tasksPerChunk).toByteArray());
    }

    /** Adds the tasks of a packed value to a set. */
    public void unpack(String key, JsonNode value, BitSet into) {
        int from = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)) * tasksPerChunk;
        try {
            byte[] bits = value.path("done").binaryValue();
            if (bits != null) {
                BitSet.valueOf(bits).stream().forEach(bit -> into.set(from + bit));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("unreadable progress " + key, e);
        }
    }
}
