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
    private static final long CANCEL_LIMIT_MS = 36_000;
    private static final List<String> PEERS = List.of("rig-1", "rig-2");

    private final EventLoop eventLoop = new EventLoop(1);

    private void advanceTo(long nowMs) {
        eventLoop.processBatch(List.of(), new ClockReading(nowMs, nowMs));
    }

    private CancellationWatermark newWatermarkAt(long nowMs) {
        advanceTo(nowMs);
        return new CancellationWatermark(eventLoop, CANCEL_LIMIT_MS, PEERS);
    }

    private void recordResponsesOfAllPeers(CancellationWatermark watermark, long nowMs, long process, long uptimeMs) {
        advanceTo(nowMs);
        PEERS.forEach(name -> watermark.recordPeerAnswer(name, process, uptimeMs, nowMs - 5, true));
    }

    @Test
    void hasNoWatermarkUntilStoreReadOrCancelLimit() {
        CancellationWatermark watermark = newWatermarkAt(1_000);
        recordResponsesOfAllPeers(watermark, 2_000, 7, 90_000);
        assertTrue(watermark.knownUntilMs(2_000) < 0, "its former process may have acknowledged some just before");
        watermark.recordStoreRead(1_900);
        assertEquals(1_995, watermark.knownUntilMs(2_000));
        watermark.resetStoreRead();
        assertTrue(
                watermark.knownUntilMs(2_000) < 0,
                "a new term's cluster state has nothing of what an earlier one read");
        recordResponsesOfAllPeers(watermark, 1_000 + CANCEL_LIMIT_MS, 7, 90_000 + CANCEL_LIMIT_MS);
        assertEquals(995 + CANCEL_LIMIT_MS, watermark.knownUntilMs(0));
    }

    // What was read after the term was last confirmed must not count: a successor relies on that.
    @Test
    void storeReadCountsUpToLastConfirmation() {
        CancellationWatermark watermark = newWatermarkAt(1_000);
        watermark.recordStoreRead(9_000);
        assertEquals(5_000, watermark.knownUntilMs(5_000));
        assertEquals(9_000, watermark.knownUntilMs(12_000));
    }

    @Test
    void gapOfRestartedPeerStaysOpenUntilStoreReadOrExpiry() {
        CancellationWatermark watermark = newWatermarkAt(0);
        recordResponsesOfAllPeers(watermark, 50_000, 7, 50_000);
        advanceTo(52_000);
        watermark.recordPeerAnswer("rig-1", 8, 100, 51_990, true);
        recordResponsesOfAllPeers(watermark, 52_000, 8, 100);
        assertEquals(49_995, watermark.knownUntilMs(0));
        recordResponsesOfAllPeers(watermark, 53_000, 9, 100);
        assertEquals(49_995, watermark.knownUntilMs(0), "a second restart does not hide the first one's gap");
        recordResponsesOfAllPeers(watermark, 60_000, 9, 7_100);
        assertEquals(49_995, watermark.knownUntilMs(0));
        watermark.recordStoreRead(52_999);
        assertEquals(
                49_995, watermark.knownUntilMs(0), "read before the last restart was noticed, and not confirmed since");
        watermark.recordStoreRead(53_000);
        assertEquals(59_995, watermark.knownUntilMs(0));
        watermark.resetStoreRead();
        recordResponsesOfAllPeers(watermark, 52_900 + CANCEL_LIMIT_MS, 9, CANCEL_LIMIT_MS);
        assertEquals(
                52_895 + CANCEL_LIMIT_MS, watermark.knownUntilMs(0), "whatever was acknowledged before is settled");
    }

    @Test
    void incompleteResponseDoesNotRaiseWatermark() {
        CancellationWatermark watermark = newWatermarkAt(0);
        recordResponsesOfAllPeers(watermark, 50_000, 7, 50_000);
        advanceTo(51_000);
        watermark.recordPeerAnswer("rig-1", 7, 51_000, 50_990, false);
        watermark.recordPeerAnswer("rig-2", 7, 51_000, 50_990, true);
        assertEquals(49_995, watermark.knownUntilMs(0));
    }

    /** A cancellation that a peer's process has acknowledged to a user. */
    private record AcknowledgedCancellation(long atMs, int peer, long process) {}

    /** Random events at two peers, with every cancellation that was acknowledged, and which of them are known here. */
    private final class RandomHistory {
        private final SplittableRandom random;
        private final CancellationWatermark watermark = newWatermarkAt(0);
        private final List<AcknowledgedCancellation> acknowledged = new ArrayList<>();
        private final Set<AcknowledgedCancellation> announced = new HashSet<>();
        private final Set<AcknowledgedCancellation> read = new HashSet<>();
        private final long[] process = {1, 2};
        private final long[] startedAtMs = {-100_000, -100_000};

        RandomHistory(int seed) {
            this.random = new SplittableRandom(seed);
        }

        private boolean oneIn(int bound) {
            return random.nextInt(bound) == 0;
        }

        void step(long nowMs) {
            int peer = random.nextInt(2);
            switch (random.nextInt(12)) {
                case 0, 1 -> acknowledged.add(new AcknowledgedCancellation(nowMs, peer, process[peer]));
                case 2 -> {
                    if (oneIn(4)) {
                        restart(peer, nowMs);
                    }
                }
                case 3 -> {
                    if (oneIn(3)) {
                        readStore(nowMs);
                    }
                }
                case 4 -> {
                    if (oneIn(20)) {
                        startTerm();
                    }
                }
                case 5 -> {}
                default -> recordResponse(peer, nowMs);
            }
        }

        private void restart(int peer, long nowMs) {
            process[peer] += 2;
            startedAtMs[peer] = nowMs;
        }

        private void readStore(long nowMs) {
            watermark.recordStoreRead(nowMs);
            read.addAll(acknowledged);
        }

        private void startTerm() {
            watermark.resetStoreRead();
            read.clear();
        }

        private void recordResponse(int peer, long nowMs) {
            acknowledged.stream()
                    .filter(one -> one.peer() == peer && one.process() == process[peer])
                    .forEach(announced::add);
            watermark.recordPeerAnswer(PEERS.get(peer), process[peer], nowMs - startedAtMs[peer], nowMs, true);
        }

        /** The cancellations whose limit is not over, and which are not known here. */
        List<AcknowledgedCancellation> unknown(long nowMs) {
            return acknowledged.stream()
                    .filter(one -> !announced.contains(one) && !read.contains(one))
                    .filter(one -> nowMs - one.atMs() < CANCEL_LIMIT_MS)
                    .toList();
        }
    }

    @Test
    void knowsAllUnexpiredCancellationsBeforeWatermark() {
        int checked = 0;
        for (int seed = 0; seed < 300; seed++) {
            RandomHistory history = new RandomHistory(seed);
            for (long nowMs = 10; nowMs < 200_000; nowMs += 1 + history.random.nextInt(1_500)) {
                advanceTo(nowMs);
                history.step(nowMs);
                long knownUntilMs = history.watermark.knownUntilMs(nowMs);
                for (AcknowledgedCancellation unknown : history.unknown(nowMs)) {
                    String context = "seed " + seed + " at " + nowMs + ": " + unknown + " before " + knownUntilMs;
                    assertTrue(unknown.atMs() >= knownUntilMs, context);
                    checked++;
                }
            }
        }
        assertTrue(checked > 10_000, "the histories had something to check");
    }
}
