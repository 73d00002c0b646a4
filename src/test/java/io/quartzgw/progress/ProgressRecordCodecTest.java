package io.quartzgw.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import io.quartzgw.http.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the encoding of completed tasks as bitmaps, also for and by the version before records stated their tasks. */
class ProgressRecordCodecTest {
    private static final int VALUE_BYTES = 8 * 1024;
    private static final int SMALLEST_VALUE_BYTES = 1024;
    private static final int TASKS = 100_000;
    private static final String JOB = "j-000001";

    private static BitSet randomTasks(int count) {
        BitSet done = new BitSet();
        new SplittableRandom(3).ints(count, 0, TASKS).forEach(done::set);
        done.set(TASKS - 1);
        return done;
    }

    /** The records of all ranges, as read back from the state service. */
    private static Map<String, JsonNode> stored(BitSet done) {
        Map<String, JsonNode> records = new TreeMap<>();
        for (int task = 0; task < TASKS; task += ProgressRecordCodec.TASKS_PER_RECORD) {
            byte[] value = Json.write(ProgressRecordCodec.encode(done, ProgressRecordCodec.rangeOf(task)));
            assertTrue(
                    value.length <= ProgressRecordCodec.maxRecordLength(TASKS) && value.length <= VALUE_BYTES,
                    "encoded range fits into a value");
            assertTrue(value.length <= SMALLEST_VALUE_BYTES, "encoded range fits into the smallest value");
            records.put(ProgressRecordCodec.key(JOB, ProgressRecordCodec.rangeOf(task)), Json.readOrNull(value));
        }
        return records;
    }

    @Test
    void decodesEncodedBitmapsThatFitIntoValues() {
        BitSet done = randomTasks(60_000);
        BitSet decoded = new BitSet();
        stored(done)
                .forEach((key, record) -> decoded.or(
                        ProgressRecordCodec.decode(key, record, TASKS).orElseThrow()));
        assertEquals(done, decoded);
        assertEquals(JOB, ProgressRecordCodec.jobOf(ProgressRecordCodec.key(JOB, 3_072)));
    }

    // Guards against a chunk of an earlier version that is read with the size of the reader's chunks.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 8, 16})
    void recordsOfEarlierVersionStateNoTaskThatIsNotCompleted(int writerKib) {
        BitSet done = randomTasks(60_000);
        EarlierVersion writer = new EarlierVersion(writerKib * 1024);
        BitSet decoded = new BitSet();
        for (int chunk = 0; chunk <= TASKS / writer.tasksPerChunk; chunk++) {
            JsonNode record = Json.readOrNull(Json.write(writer.encode(done, chunk)));
            ProgressRecordCodec.decode(JOB + "/" + chunk, record, TASKS).ifPresent(decoded::or);
        }
        assertEquals(done.get(0, writer.tasksPerChunk), decoded, "only the first chunk says what it stands for");
    }

    // A controller of the earlier version may lead between two of this one, during a rolling upgrade or its reversal.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 8, 16})
    void earlierVersionReadsNoTaskThatIsNotCompleted(int readerKib) throws IOException {
        BitSet done = randomTasks(60_000);
        EarlierVersion reader = new EarlierVersion(readerKib * 1024);
        BitSet decoded = new BitSet();
        for (Map.Entry<String, JsonNode> record : stored(done).entrySet()) {
            reader.decode(record.getKey(), record.getValue(), decoded);
        }
        assertEquals(done.get(0, ProgressRecordCodec.TASKS_PER_RECORD), decoded, "it reads the first range only");
    }

    @Test
    void recordsThatDoNotStateTheirTasksAreNotDecoded() {
        for (String record : new String[] {
            "{}",
            "7",
            "null",
            "[0]",
            "[-1536,\"AQ==\"]",
            "[1536,7]",
            "[1536.5,\"AQ==\"]",
            "[1536,\"*\"]",
            "[4000,\"AQ==\"]"
        }) {
            assertEquals(
                    Optional.empty(),
                    ProgressRecordCodec.decode(
                            JOB + "/1536", Json.readOrNull(record.getBytes(StandardCharsets.UTF_8)), 4_000),
                    record);
        }
        BitSet beyondLastTask = new BitSet();
        beyondLastTask.set(5);
        JsonNode record = BinaryNode.valueOf(beyondLastTask.toByteArray());
        assertEquals(
                Optional.empty(), ProgressRecordCodec.decode(JOB + "/0", record, 5), "more tasks than the job has");
        assertEquals(Optional.of(beyondLastTask), ProgressRecordCodec.decode(JOB + "/0", record, 6));
    }

    /** The format of the version before records stated their tasks: the size of chunks follows from a setting. */
    private static final class EarlierVersion {
        private final int tasksPerChunk;

        EarlierVersion(int maxValueBytes) {
            tasksPerChunk = Math.max(64, ((int) (maxValueBytes * 0.25)) * 6);
        }

        JsonNode encode(BitSet completed, int chunk) {
            int from = chunk * tasksPerChunk;
            return BinaryNode.valueOf(completed.get(from, from + tasksPerChunk).toByteArray());
        }

        void decode(String key, JsonNode record, BitSet target) throws IOException {
            int from = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)) * tasksPerChunk;
            byte[] bits = record.binaryValue();
            if (bits != null) {
                BitSet.valueOf(bits).stream().forEach(bit -> target.set(from + bit));
            }
        }
    }
}
