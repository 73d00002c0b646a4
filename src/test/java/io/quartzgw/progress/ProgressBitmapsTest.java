package io.quartzgw.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Json;
import java.util.BitSet;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the encoding of completed tasks as bitmaps. */
class ProgressBitmapsTest {
    private static final int VALUE_BYTES = 8 * 1024;
    private static final int TASKS = 100_000;

    @Test
    void decodesEncodedBitmapsThatFitIntoValues() {
        ProgressBitmaps bitmaps = new ProgressBitmaps(VALUE_BYTES);
        BitSet done = new BitSet();
        new SplittableRandom(3).ints(60_000, 0, TASKS).forEach(done::set);
        done.set(TASKS - 1);
        BitSet decoded = new BitSet();
        for (int chunk = 0; chunk <= bitmaps.chunkOf(TASKS - 1); chunk++) {
            byte[] value = Json.write(bitmaps.encode(done, chunk));
            assertTrue(
                    value.length <= bitmaps.maxRecordLength(TASKS) && value.length <= VALUE_BYTES,
                    "encoded chunk fits into a value");
            bitmaps.decode(ProgressBitmaps.key("j-000001", chunk), Json.readOrNull(value), decoded);
        }
        assertEquals(done, decoded);
        assertEquals("j-000001", ProgressBitmaps.jobOf(ProgressBitmaps.key("j-000001", 2)));
    }
}
