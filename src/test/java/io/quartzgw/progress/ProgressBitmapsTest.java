package io.quartzgw.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Json;
import java.util.BitSet;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ProgressBitmapsTest {
    private static final int VALUE_BYTES = 8 * 1024;
    private static final int TASKS = 100_000;

    @Test
    void everyFinishComesBackAndEveryValueFits() {
        ProgressBitmaps packing = new ProgressBitmaps(VALUE_BYTES);
        BitSet done = new BitSet();
        new SplittableRandom(3).ints(60_000, 0, TASKS).forEach(done::set);
        done.set(TASKS - 1);
        BitSet read = new BitSet();
        for (int chunk = 0; chunk <= packing.chunkOf(TASKS - 1); chunk++) {
            byte[] value = Json.write(packing.pack(done, chunk));
            assertTrue(value.length <= packing.maxRecordLength(TASKS) && value.length <= VALUE_BYTES, "fits a value");
            packing.unpack(ProgressBitmaps.key("j-000001", chunk), Json.readOrNull(value), read);
        }
        assertEquals(done, read);
        assertEquals("j-000001", ProgressBitmaps.jobOf(ProgressBitmaps.key("j-000001", 2)));
    }
}
