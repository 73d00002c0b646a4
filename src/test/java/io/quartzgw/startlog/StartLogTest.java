package io.quartzgw.startlog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.model.Attempt;
import io.quartzgw.startlog.StartLogFixture.Delivery;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests when a start counts as stored and which starts the next leader loads from the log. */
class StartLogTest {
    private static final String MACHINE = "i-1";
    private static final Attempt START = new Attempt("j-000001", 0, (4096L << 32) + 7);
    private static final Attempt OTHER_START = new Attempt("j-000001", 1, (4096L << 32) + 8);
    private static final String PAGE = StartLog.PREFIX + "0";
    private static final long SETTLE_MS = 10_000;
    private static final StoreLimits TIGHT_LIMITS = new StoreLimits(50, 15, 2048, 5);

    private StartLogFixture fixture = new StartLogFixture();
    private final List<String> machinesWithStoredStarts = new ArrayList<>();

    @BeforeEach
    void electLeader() {
        fixture.replaceLeader();
        fixture.log().onStored(machinesWithStoredStarts::add);
    }

    private void setStarts(Attempt... starts) {
        fixture.runInBatch(() -> fixture.log().setStarts(MACHINE, new LinkedHashSet<>(List.of(starts))));
    }

    private boolean isStored(Attempt start) {
        return fixture.log().maySendDirectly(MACHINE, start);
    }

    private static Set<Attempt> startsOf(String machine, LoadedStarts loadedStarts) {
        return loadedStarts.machines().stream()
                .filter(starts -> starts.machine().equals(machine))
                .findFirst()
                .map(MachineStarts::starts)
                .orElse(Set.of());
    }

    private static boolean writesLog(Call transaction) {
        return Json.readOrNull(transaction.body()).path("apply").findValuesAsText("write").stream()
                .anyMatch(key -> key.startsWith(StartLog.PREFIX));
    }

    // Guards against a start that is sent before it is stored: no successor could find it.
    @Test
    void startIsStoredOnlyAfterWriteIsAcknowledged() {
        fixture.setDeliveryPolicy(call -> writesLog(call) ? Delivery.ANSWER_LOST : Delivery.ANSWERED);
        setStarts(START);
        assertFalse(isStored(START), "the response was lost");
        assertEquals(List.of(), machinesWithStoredStarts);
        fixture.setDeliveryPolicy(call -> Delivery.ANSWERED);
        fixture.advance(SETTLE_MS);
        assertTrue(isStored(START));
        assertEquals(List.of(MACHINE), machinesWithStoredStarts);
        assertEquals(Set.of(START), startsOf(MACHINE, fixture.replaceLeader()));
    }

    @Test
    void unannouncedStartIsNotStored() {
        setStarts(START);
        assertTrue(isStored(START));
        assertFalse(isStored(OTHER_START));
        assertFalse(fixture.log().maySendDirectly("i-2", START));
    }

    @Test
    void writesAllWaitingStartsInOneTransaction() {
        int countBefore = fixture.transactionCount();
        fixture.runInBatch(() -> IntStream.range(0, 100)
                .forEach(i -> fixture.log().setStarts("i-" + i, Set.of(new Attempt("j-000002", i, 9)))));
        assertTrue(fixture.log().maySendDirectly("i-99", new Attempt("j-000002", 99, 9)));
        assertEquals(countBefore + 1, fixture.transactionCount());
    }

    // Dropped starts must be removed eventually, so that neither the pages nor later leaders keep them.
    @Test
    void removesDroppedStartWithoutFurtherStarts() {
        setStarts(START, OTHER_START);
        setStarts(OTHER_START);
        assertFalse(isStored(START));
        fixture.advance(SETTLE_MS);
        assertEquals(Set.of(OTHER_START), startsOf(MACHINE, fixture.replaceLeader()));
    }

    // Guards against a start that counts as stored because of a write sent before it was dropped and set again.
    @Test
    void startThatIsSetAgainRequiresNewWrite() {
        fixture.setDeliveryPolicy(call -> writesLog(call) ? Delivery.LATE : Delivery.ANSWERED);
        setStarts(START);
        setStarts();
        setStarts(START);
        fixture.applyDelayedTransactions();
        assertFalse(isStored(START));
        fixture.setDeliveryPolicy(call -> Delivery.ANSWERED);
        fixture.advance(SETTLE_MS);
        assertTrue(isStored(START));
    }

    // Guards against a deposed leader's start that is stored after its successor loaded the log.
    @Test
    void rejectsDelayedWriteOfDeposedLeader() {
        fixture.setDeliveryPolicy(call -> writesLog(call) ? Delivery.LATE : Delivery.ANSWERED);
        setStarts(START);
        fixture.setDeliveryPolicy(call -> Delivery.ANSWERED);
        assertEquals(List.of(), fixture.replaceLeader().machines());
        setStarts(OTHER_START);
        fixture.applyDelayedTransactions();
        assertEquals(Set.of(OTHER_START), startsOf(MACHINE, fixture.replaceLeader()));
    }

    // Guards against an earlier write of the same leader that arrives after a later one and overwrites it.
    @Test
    void rejectsDelayedEarlierWriteOfSameLeader() {
        fixture.setDeliveryPolicy(call -> writesLog(call) ? Delivery.LATE : Delivery.ANSWERED);
        setStarts(START);
        fixture.setDeliveryPolicy(call -> Delivery.ANSWERED);
        fixture.advance(SETTLE_MS);
        setStarts(START, OTHER_START);
        fixture.advance(SETTLE_MS);
        fixture.applyDelayedTransactions();
        assertEquals(Set.of(START, OTHER_START), startsOf(MACHINE, fixture.replaceLeader()));
    }

    @Test
    void startsWaitAndAreCountedDuringStateServiceOutage() {
        fixture.stateService.setOutage(true);
        setStarts(START);
        fixture.advance(1_000);
        fixture.runInBatch(() -> fixture.log().report());
        assertFalse(isStored(START));
        assertEquals(1, fixture.counter("startlog.waiting"));
        assertTrue(fixture.counter("startlog.oldest_waiting_ms") >= 1_000);
        assertEquals(1, fixture.counter("startlog.stalls"));
        fixture.stateService.setOutage(false);
        fixture.advance(SETTLE_MS);
        assertTrue(isStored(START));
    }

    // Guards against user requests that are delayed because the log uses up the write budget.
    @Test
    void usesAtMostHalfOfWriteBudget() {
        fixture = new StartLogFixture(TIGHT_LIMITS);
        fixture.replaceLeader();
        int seconds = 20;
        int countBefore = fixture.transactionCount();
        for (int i = 0; i < 100 * seconds; i++) {
            Attempt start = new Attempt("j-000001", i, i + 1);
            fixture.runInBatch(() -> fixture.log().setStarts(MACHINE, Set.of(start)));
            fixture.advance(10);
        }
        int writes = fixture.transactionCount() - countBefore;
        assertTrue(writes <= seconds * TIGHT_LIMITS.writesPerS() / 2 + 1, writes + " writes");
        assertTrue(fixture.counter("startlog.starts") > 0, "starts are stored within the budget");
    }

    // Guards against a page that the state service rejects as too large: it would block all starts.
    @Test
    void storesBurstWithinSmallestStoreLimits() {
        fixture = new StartLogFixture(TIGHT_LIMITS);
        fixture.replaceLeader();
        fixture.runInBatch(() -> IntStream.range(0, 400)
                .forEach(i -> fixture.log().setStarts("i-" + i, Set.of(new Attempt("j-000412", i, (1L << 44) + i)))));
        fixture.advance(2 * SETTLE_MS);
        assertEquals(400, fixture.counter("startlog.starts"));
        assertEquals(400, fixture.replaceLeader().count());
    }

    // Starts beyond the limit are never stored, so they are sent only in heartbeat responses.
    @Test
    void storesAtMostMaxStarts() {
        fixture.runInBatch(() -> IntStream.range(0, 30_000)
                .forEach(i -> fixture.log().setStarts("i-" + i, Set.of(new Attempt("j-000412", i, i + 1)))));
        fixture.advance(SETTLE_MS);
        assertEquals(20_000, fixture.counter("startlog.starts"));
        assertFalse(fixture.log().maySendDirectly("i-29999", new Attempt("j-000412", 29_999, 30_000)));
        fixture.runInBatch(() -> fixture.log().setStarts("i-1", Set.of()));
        fixture.runInBatch(() -> fixture.log().setStarts("i-29999", Set.of(new Attempt("j-000412", 29_999, 30_000))));
        fixture.advance(SETTLE_MS);
        assertTrue(fixture.log().maySendDirectly("i-29999", new Attempt("j-000412", 29_999, 30_000)));
    }

    // Guards against treating an unreadable page as empty: it may contain any start.
    @Test
    void reportsAndKeepsUnreadablePageUntilDropped() {
        setStarts(START);
        JsonNode damaged = Json.object().put("j-000001/0", MACHINE);
        fixture.stateService.setValue(PAGE, damaged);
        assertEquals(1, fixture.replaceLeader().unreadablePages());
        assertEquals(1, fixture.counter("startlog.unreadable_pages"));
        setStarts(OTHER_START);
        fixture.advance(SETTLE_MS);
        assertEquals(damaged, fixture.stateService.value(PAGE), "the next leader still finds the damaged page");
        LoadedStarts loaded = fixture.replaceLeader();
        assertEquals(1, loaded.unreadablePages());
        assertEquals(Set.of(OTHER_START), startsOf(MACHINE, loaded));
        fixture.runInBatch(() -> fixture.log().resetUnreadablePages());
        fixture.advance(SETTLE_MS);
        assertEquals(0, fixture.replaceLeader().unreadablePages());
    }

    @Test
    void reportsAndDropsNonPageKey() {
        fixture.stateService.setValue(StartLog.PREFIX + "x", Json.object());
        assertEquals(1, fixture.replaceLeader().unreadablePages());
        fixture.runInBatch(() -> fixture.log().resetUnreadablePages());
        assertEquals(0, fixture.replaceLeader().unreadablePages());
    }

    // Guards against a controller of an earlier version that relies on a replica without this leader's starts.
    @Test
    void startWaitsUntilLegacyReplicasAreInvalidated() {
        fixture.setDeliveryPolicy(call ->
                Json.readOrNull(call.body()).toString().contains("starts/insync") ? Delivery.LOST : Delivery.ANSWERED);
        fixture.replaceLeader();
        setStarts(START);
        fixture.advance(SETTLE_MS);
        assertFalse(isStored(START));
        fixture.setDeliveryPolicy(call -> Delivery.ANSWERED);
        fixture.advance(SETTLE_MS);
        assertTrue(isStored(START));
        JsonNode record = fixture.stateService.value("starts/insync");
        assertEquals(0, record.path("members").size());
        assertTrue(record.path("term").asLong() > 0);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 40);
    }

    /** Compares successive leaders with a plain map while transactions or their responses are lost or delayed. */
    @ParameterizedTest
    @MethodSource("seeds")
    void nextLeaderLoadsEveryStoredStart(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        fixture = new StartLogFixture(seed % 2 == 0 ? TIGHT_LIMITS : new StoreLimits(100_000, 100_000, 8192, 16));
        fixture.setDeliveryPolicy(call -> writesLog(call) ? randomDelivery(random) : Delivery.ANSWERED);
        Map<String, Set<Attempt>> expectedStarts = new TreeMap<>();
        fixture.replaceLeader();
        for (int step = 0; step < 300; step++) {
            String machine = "i-" + random.nextInt(12);
            Set<Attempt> starts = randomStarts(random, step, expectedStarts.getOrDefault(machine, Set.of()));
            expectedStarts.put(machine, starts);
            fixture.runInBatch(() -> fixture.log().setStarts(machine, starts));
            fixture.advance(random.nextInt(200));
            if (random.nextInt(10) == 0) {
                fixture.applyDelayedTransactions();
            }
            if (random.nextInt(30) == 0) {
                assertNextLeaderLoads(expectedStarts);
            }
        }
        fixture.setDeliveryPolicy(call -> Delivery.ANSWERED);
        fixture.advance(4 * SETTLE_MS);
        LoadedStarts loaded = fixture.replaceLeader();
        expectedStarts.forEach((machine, starts) -> assertEquals(starts, startsOf(machine, loaded)));
    }

    /** Replaces the leader; the test continues with the starts that the new leader loads. */
    private void assertNextLeaderLoads(Map<String, Set<Attempt>> expectedStarts) {
        StartLog previousLog = fixture.log();
        LoadedStarts loaded = fixture.replaceLeader();
        expectedStarts.forEach((machine, starts) -> starts.stream()
                .filter(start -> previousLog.maySendDirectly(machine, start))
                .forEach(start -> assertTrue(startsOf(machine, loaded).contains(start), machine + " " + start)));
        expectedStarts.clear();
        loaded.machines().forEach(machine -> expectedStarts.put(machine.machine(), machine.starts()));
    }

    private static Delivery randomDelivery(SplittableRandom random) {
        return Delivery.values()[Math.max(0, random.nextInt(6) - 2)];
    }

    /** Keeps some of a machine's starts and adds new ones; no attempt is started on two machines. */
    private static Set<Attempt> randomStarts(SplittableRandom random, int step, Set<Attempt> previous) {
        Set<Attempt> starts = new TreeSet<>((one, other) -> Long.compare(one.number(), other.number()));
        previous.stream().filter(start -> random.nextInt(3) > 0).forEach(starts::add);
        IntStream.range(0, random.nextInt(3))
                .forEach(i -> starts.add(new Attempt("j-000001", random.nextInt(5), 10L * step + i + 1)));
        return new LinkedHashSet<>(starts);
    }
}
