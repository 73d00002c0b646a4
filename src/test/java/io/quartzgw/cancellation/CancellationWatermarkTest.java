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

/**
 * Tests that the watermark covers no cancellation that this controller has not recorded. Such cancellations are those
 * that a peer, or this controller's previous process, acknowledged shortly before it restarted.
 */
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
        PEERS.forEach(name -> watermark.recordPeerResponse(name, process, uptimeMs, nowMs - 5, true));
    }

    @Test
    void hasNoWatermarkUntilStoreReadOrCancelLimit() {
        CancellationWatermark watermark = newWatermarkAt(1_000);
        recordResponsesOfAllPeers(watermark, 2_000, 7, 90_000);
        assertTrue(
                watermark.knownUntilMs(2_000) < 0,
                "the previous process may have acknowledged cancellations just before the restart");
        watermark.recordStoreRead(1_900);
        assertEquals(1_995, watermark.knownUntilMs(2_000));
        watermark.resetStoreRead();
        assertTrue(
                watermark.knownUntilMs(2_000) < 0,
                "a new term's cluster state does not contain what an earlier term read");
        recordResponsesOfAllPeers(watermark, 1_000 + CANCEL_LIMIT_MS, 7, 90_000 + CANCEL_LIMIT_MS);
        assertEquals(995 + CANCEL_LIMIT_MS, watermark.knownUntilMs(0));
    }

    // Store reads after the last confirmation of the term must not count, since the next leader relies on this bound.
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
        watermark.recordPeerResponse("rig-1", 8, 100, 51_990, true);
        recordResponsesOfAllPeers(watermark, 52_000, 8, 100);
        assertEquals(49_995, watermark.knownUntilMs(0));
        recordResponsesOfAllPeers(watermark, 53_000, 9, 100);
        assertEquals(49_995, watermark.knownUntilMs(0), "the gap of the first restart remains after a second one");
        recordResponsesOfAllPeers(watermark, 60_000, 9, 7_100);
        assertEquals(49_995, watermark.knownUntilMs(0));
        watermark.recordStoreRead(52_999);
        assertEquals(
                49_995,
                watermark.knownUntilMs(0),
                "the store was read before the last restart was detected, and the term is not confirmed");
        watermark.recordStoreRead(53_000);
        assertEquals(59_995, watermark.knownUntilMs(0));
        watermark.resetStoreRead();
        recordResponsesOfAllPeers(watermark, 52_900 + CANCEL_LIMIT_MS, 9, CANCEL_LIMIT_MS);
        assertEquals(
                52_895 + CANCEL_LIMIT_MS,
                watermark.knownUntilMs(0),
                "the cancel limits of all earlier cancellations have passed");
    }

    @Test
    void incompleteResponseDoesNotRaiseWatermark() {
        CancellationWatermark watermark = newWatermarkAt(0);
        recordResponsesOfAllPeers(watermark, 50_000, 7, 50_000);
        advanceTo(51_000);
        watermark.recordPeerResponse("rig-1", 7, 51_000, 50_990, false);
        watermark.recordPeerResponse("rig-2", 7, 51_000, 50_990, true);
        assertEquals(49_995, watermark.knownUntilMs(0));
    }

    /** A cancellation that a peer's process has acknowledged to a user. */
    private record AcknowledgedCancellation(long atMs, int peer, long process) {}

    /**
     * A random sequence of events at two peers. Tracks all acknowledged cancellations, and which of them this
     * controller has received.
     */
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
                    .filter(cancellation -> cancellation.peer() == peer && cancellation.process() == process[peer])
                    .forEach(announced::add);
            watermark.recordPeerResponse(PEERS.get(peer), process[peer], nowMs - startedAtMs[peer], nowMs, true);
        }

        /** The cancellations that this controller has not received and whose cancel limit has not passed. */
        List<AcknowledgedCancellation> unknown(long nowMs) {
            return acknowledged.stream()
                    .filter(cancellation -> !announced.contains(cancellation) && !read.contains(cancellation))
                    .filter(cancellation -> nowMs - cancellation.atMs() < CANCEL_LIMIT_MS)
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
        assertTrue(checked > 10_000, "the histories contain enough unknown cancellations");
    }
}
