package io.quartzgw.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CancellationWatermarkTest {
    private static final long CANCEL_MS = 36_000;
    private static final List<String> OTHERS = List.of("rig-1", "rig-2");

    private final EventLoop eventLoop = new EventLoop(1);

    private void time(long now) {
        eventLoop.processBatch(List.of(), new ClockReading(now, now));
    }

    private CancellationWatermark started(long at) {
        time(at);
        return new CancellationWatermark(eventLoop, CANCEL_MS, OTHERS);
    }

    private void answered(CancellationWatermark watermark, long at, long process, long upMs) {
        time(at);
        OTHERS.forEach(name -> watermark.peerAnswered(name, process, upMs, at - 5, true));
    }

    @Test
    void nothingIsKnownBeforeThisProcessIsOldEnoughOrHasRead() {
        CancellationWatermark watermark = started(1_000);
        answered(watermark, 2_000, 7, 90_000);
        assertTrue(watermark.knownUntil(2_000) < 0, "its former process may have told of some just before");
        watermark.storeReadAt(1_900);
        assertEquals(1_995, watermark.knownUntil(2_000));
        watermark.resetStoreRead();
        assertTrue(watermark.knownUntil(2_000) < 0, "a new term's book has nothing of what an earlier one read");
        answered(watermark, 1_000 + CANCEL_MS, 7, 90_000 + CANCEL_MS);
        assertEquals(995 + CANCEL_MS, watermark.knownUntil(0));
    }

    // What was read after the term was last confirmed must not count: a successor reckons with that.
    @Test
    void whatWasReadCountsUpToTheConfirmation() {
        CancellationWatermark watermark = started(1_000);
        watermark.storeReadAt(9_000);
        assertEquals(5_000, watermark.knownUntil(5_000));
        assertEquals(9_000, watermark.knownUntil(12_000));
    }

    @Test
    void aRestartLeavesAGapUntilItIsReadOrSettled() {
        CancellationWatermark watermark = started(0);
        answered(watermark, 50_000, 7, 50_000);
        time(52_000);
        watermark.peerAnswered("rig-1", 8, 100, 51_990, true);
        answered(watermark, 52_000, 8, 100);
        assertEquals(49_995, watermark.knownUntil(0));
        answered(watermark, 53_000, 9, 100);
        assertEquals(49_995, watermark.knownUntil(0), "a second restart does not hide the first one's gap");
        answered(watermark, 60_000, 9, 7_100);
        assertEquals(49_995, watermark.knownUntil(0));
        watermark.storeReadAt(52_999);
        assertEquals(
                49_995, watermark.knownUntil(0), "read before the last restart was noticed, and not confirmed since");
        watermark.storeReadAt(53_000);
        assertEquals(59_995, watermark.knownUntil(0));
        watermark.resetStoreRead();
        answered(watermark, 52_900 + CANCEL_MS, 9, CANCEL_MS);
        assertEquals(52_895 + CANCEL_MS, watermark.knownUntil(0), "whatever was told before is settled");
    }

    @Test
    void anAnswerThatDoesNotNameAllCountsForNothing() {
        CancellationWatermark watermark = started(0);
        answered(watermark, 50_000, 7, 50_000);
        time(51_000);
        watermark.peerAnswered("rig-1", 7, 51_000, 50_990, false);
        watermark.peerAnswered("rig-2", 7, 51_000, 50_990, true);
        assertEquals(49_995, watermark.knownUntil(0));
    }

    private record Told(long at, int by, long process) {}

    // The plain model keeps every cancellation that was told, and what this controller has heard of.
    @Test
    void noCancellationThatMattersIsUnknownBeforeTheWatermark() {
        int bounded = 0;
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            CancellationWatermark watermark = started(0);
            List<Told> told = new ArrayList<>();
            Set<Told> named = new HashSet<>();
            Set<Told> read = new HashSet<>();
            long[] process = {1, 2};
            long[] began = {-100_000, -100_000};
            for (long now = 10; now < 200_000; now += 1 + random.nextInt(1_500)) {
                time(now);
                int peer = random.nextInt(2);
                switch (random.nextInt(12)) {
                    case 0, 1 -> told.add(new Told(now, peer, process[peer]));
                    case 2 -> {
                        if (random.nextInt(4) == 0) {
                            process[peer] += 2;
                            began[peer] = now;
                        }
                    }
                    case 3 -> {
                        if (random.nextInt(3) == 0) {
                            watermark.storeReadAt(now);
                            read.addAll(told);
                        }
                    }
                    case 4 -> {
                        if (random.nextInt(20) == 0) {
                            watermark.resetStoreRead();
                            read.clear();
                        }
                    }
                    case 5 -> {}
                    default -> {
                        told.stream()
                                .filter(one -> one.by() == peer && one.process() == process[peer])
                                .forEach(named::add);
                        watermark.peerAnswered(OTHERS.get(peer), process[peer], now - began[peer], now, true);
                    }
                }
                long until = watermark.knownUntil(now);
                for (Told one : told) {
                    if (!named.contains(one) && !read.contains(one) && now - one.at() < CANCEL_MS) {
                        assertTrue(one.at() >= until, "seed " + seed + " at " + now + ": " + one + " before " + until);
                        bounded++;
                    }
                }
            }
        }
        assertTrue(bounded > 10_000, "the model had something to bound");
    }
}
