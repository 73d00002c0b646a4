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

/** When a start counts as stored, and what the next leader reads of the log. */
class StartLogTest {
    private static final String MACHINE = "i-1";
    private static final Attempt START = new Attempt("j-000001", 0, (4096L << 32) + 7);
    private static final Attempt LATER = new Attempt("j-000001", 1, (4096L << 32) + 8);
    private static final String PAGE = StartLog.PREFIX + "0";
    private static final long SETTLED_MS = 10_000;
    private static final StoreLimits SMALL = new StoreLimits(50, 15, 2048, 5);

    private StartLogFixture cluster = new StartLogFixture();
    private final List<String> stored = new ArrayList<>();

    @BeforeEach
    void lead() {
        cluster.replaceLeader();
        cluster.log().onStored(stored::add);
    }

    private void announce(Attempt... starts) {
        cluster.run(() -> cluster.log().announce(MACHINE, new LinkedHashSet<>(List.of(starts))));
    }

    private boolean isStored(Attempt start) {
        return cluster.log().isStored(MACHINE, start);
    }

    private static Set<Attempt> startsTo(String machine, FormerStarts formerStarts) {
        return formerStarts.machines().stream()
                .filter(starts -> starts.machine().equals(machine))
                .findFirst()
                .map(MachineStarts::starts)
                .orElse(Set.of());
    }

    private static boolean writesLog(Call transaction) {
        return Json.readOrNull(transaction.body()).path("apply").findValuesAsText("write").stream()
                .anyMatch(key -> key.startsWith(StartLog.PREFIX));
    }

    // Guards against a start that leaves before the state service has it: nobody would know of it.
    @Test
    void startCountsAsStoredOnceItsWriteIsAnswered() {
        cluster.deliver(call -> writesLog(call) ? Delivery.ANSWER_LOST : Delivery.ANSWERED);
        announce(START);
        assertFalse(isStored(START), "the answer was lost");
        assertEquals(List.of(), stored);
        cluster.deliver(call -> Delivery.ANSWERED);
        cluster.pass(SETTLED_MS);
        assertTrue(isStored(START));
        assertEquals(List.of(MACHINE), stored);
        assertEquals(Set.of(START), startsTo(MACHINE, cluster.replaceLeader()));
    }

    @Test
    void startThatWasNeverAnnouncedIsNotStored() {
        announce(START);
        assertTrue(isStored(START));
        assertFalse(isStored(LATER));
        assertFalse(cluster.log().isStored("i-2", START));
    }

    @Test
    void allStartsThatWaitTakeOneTransaction() {
        int before = cluster.transactions();
        cluster.run(() -> IntStream.range(0, 100)
                .forEach(i -> cluster.log().announce("i-" + i, Set.of(new Attempt("j-000002", i, 9)))));
        assertTrue(cluster.log().isStored("i-99", new Attempt("j-000002", 99, 9)));
        assertEquals(before + 1, cluster.transactions());
    }

    // Each start is released in the end: neither pages nor successors keep it for ever.
    @Test
    void startThatIsVoidLeavesTheLogThoughNoOtherIsWritten() {
        announce(START, LATER);
        announce(LATER);
        assertFalse(isStored(START));
        cluster.pass(SETTLED_MS);
        assertEquals(Set.of(LATER), startsTo(MACHINE, cluster.replaceLeader()));
    }

    // Guards against a start that counts as stored by a write from before it was withdrawn and announced again.
    @Test
    void startThatIsAnnouncedAgainWaitsForAWriteOfItsOwn() {
        cluster.deliver(call -> writesLog(call) ? Delivery.LATE : Delivery.ANSWERED);
        announce(START);
        announce();
        announce(START);
        cluster.applyLate();
        assertFalse(isStored(START));
        cluster.deliver(call -> Delivery.ANSWERED);
        cluster.pass(SETTLED_MS);
        assertTrue(isStored(START));
    }

    // Guards against a deposed leader's start that its successor has not read.
    @Test
    void lateWriteOfADeposedLeaderChangesNothing() {
        cluster.deliver(call -> writesLog(call) ? Delivery.LATE : Delivery.ANSWERED);
        announce(START);
        cluster.deliver(call -> Delivery.ANSWERED);
        assertEquals(List.of(), cluster.replaceLeader().machines());
        announce(LATER);
        cluster.applyLate();
        assertEquals(Set.of(LATER), startsTo(MACHINE, cluster.replaceLeader()));
    }

    // Guards against an earlier write of the same leader that arrives after a later one.
    @Test
    void lateCopyOfAnEarlierWriteChangesNothing() {
        cluster.deliver(call -> writesLog(call) ? Delivery.LATE : Delivery.ANSWERED);
        announce(START);
        cluster.deliver(call -> Delivery.ANSWERED);
        cluster.pass(SETTLED_MS);
        announce(START, LATER);
        cluster.pass(SETTLED_MS);
        cluster.applyLate();
        assertEquals(Set.of(START, LATER), startsTo(MACHINE, cluster.replaceLeader()));
    }

    @Test
    void startsWaitWhileTheStateServiceIsAwayAndThatIsCounted() {
        cluster.stateService.setOutage(true);
        announce(START);
        cluster.pass(1_000);
        cluster.run(() -> cluster.log().report());
        assertFalse(isStored(START));
        assertEquals(1, cluster.counter("startlog.waiting"));
        assertTrue(cluster.counter("startlog.oldest_waiting_ms") >= 1_000);
        assertEquals(1, cluster.counter("startlog.stalls"));
        cluster.stateService.setOutage(false);
        cluster.pass(SETTLED_MS);
        assertTrue(isStored(START));
    }

    // Guards against users who wait for the state service behind the log.
    @Test
    void logTakesHalfOfTheWriteBudgetAtTheMost() {
        cluster = new StartLogFixture(SMALL);
        cluster.replaceLeader();
        int seconds = 20;
        int before = cluster.transactions();
        for (int i = 0; i < 100 * seconds; i++) {
            Attempt start = new Attempt("j-000001", i, i + 1);
            cluster.run(() -> cluster.log().announce(MACHINE, Set.of(start)));
            cluster.pass(10);
        }
        int writes = cluster.transactions() - before;
        assertTrue(writes <= seconds * SMALL.writesPerS() / 2 + 1, writes + " writes");
        assertTrue(cluster.counter("startlog.starts") > 0, "starts are stored all the same");
    }

    // Guards against a page that the state service rejects: it would hold up all starts.
    @Test
    void burstIsStoredWithinTheSmallestLimits() {
        cluster = new StartLogFixture(SMALL);
        cluster.replaceLeader();
        cluster.run(() -> IntStream.range(0, 400)
                .forEach(i -> cluster.log().announce("i-" + i, Set.of(new Attempt("j-000412", i, (1L << 44) + i)))));
        cluster.pass(2 * SETTLED_MS);
        assertEquals(400, cluster.counter("startlog.starts"));
        assertEquals(400, cluster.replaceLeader().count());
    }

    // No limit breaks a rule: what the log does not take is never stored, and leaves in responses.
    @Test
    void logIsBounded() {
        cluster.run(() -> IntStream.range(0, 30_000)
                .forEach(i -> cluster.log().announce("i-" + i, Set.of(new Attempt("j-000412", i, i + 1)))));
        cluster.pass(SETTLED_MS);
        assertEquals(20_000, cluster.counter("startlog.starts"));
        assertFalse(cluster.log().isStored("i-29999", new Attempt("j-000412", 29_999, 30_000)));
        cluster.run(() -> cluster.log().announce("i-1", Set.of()));
        cluster.run(() -> cluster.log().announce("i-29999", Set.of(new Attempt("j-000412", 29_999, 30_000))));
        cluster.pass(SETTLED_MS);
        assertTrue(cluster.log().isStored("i-29999", new Attempt("j-000412", 29_999, 30_000)));
    }

    // Guards against a page that is taken for empty: it may name any start.
    @Test
    void pageThatCannotBeReadIsReportedAndKeptUntilItIsDropped() {
        announce(START);
        JsonNode damaged = Json.object().put("j-000001/0", MACHINE);
        cluster.stateService.setValue(PAGE, damaged);
        assertEquals(1, cluster.replaceLeader().unreadablePages());
        assertEquals(1, cluster.counter("startlog.unreadable_pages"));
        announce(LATER);
        cluster.pass(SETTLED_MS);
        assertEquals(damaged, cluster.stateService.value(PAGE), "another leader has to hear of it");
        FormerStarts read = cluster.replaceLeader();
        assertEquals(1, read.unreadablePages());
        assertEquals(Set.of(LATER), startsTo(MACHINE, read));
        cluster.run(() -> cluster.log().dropUnreadablePages());
        cluster.pass(SETTLED_MS);
        assertEquals(0, cluster.replaceLeader().unreadablePages());
    }

    @Test
    void keyThatIsNoPageIsReportedAndDropped() {
        cluster.stateService.setValue(StartLog.PREFIX + "x", Json.object());
        assertEquals(1, cluster.replaceLeader().unreadablePages());
        cluster.run(() -> cluster.log().dropUnreadablePages());
        assertEquals(0, cluster.replaceLeader().unreadablePages());
    }

    // Guards against a controller of an earlier version that trusts a replica which lacks this leader's starts.
    @Test
    void startWaitsUntilItIsRecordedThatNoReplicaCoversIt() {
        cluster.deliver(call ->
                Json.readOrNull(call.body()).toString().contains("starts/insync") ? Delivery.LOST : Delivery.ANSWERED);
        cluster.replaceLeader();
        announce(START);
        cluster.pass(SETTLED_MS);
        assertFalse(isStored(START));
        cluster.deliver(call -> Delivery.ANSWERED);
        cluster.pass(SETTLED_MS);
        assertTrue(isStored(START));
        JsonNode record = cluster.stateService.value("starts/insync");
        assertEquals(0, record.path("members").size());
        assertTrue(record.path("term").asLong() > 0);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 40);
    }

    /** Leaders in turn, with transactions that are lost, late, or lose their answers, against a plain map. */
    @ParameterizedTest
    @MethodSource("seeds")
    void nextLeaderReadsEveryStartThatCountedAsStored(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        cluster = new StartLogFixture(seed % 2 == 0 ? SMALL : new StoreLimits(100_000, 100_000, 8192, 16));
        cluster.deliver(call -> writesLog(call) ? randomDelivery(random) : Delivery.ANSWERED);
        Map<String, Set<Attempt>> announced = new TreeMap<>();
        cluster.replaceLeader();
        for (int step = 0; step < 300; step++) {
            String machine = "i-" + random.nextInt(12);
            Set<Attempt> starts = randomStarts(random, step, announced.getOrDefault(machine, Set.of()));
            announced.put(machine, starts);
            cluster.run(() -> cluster.log().announce(machine, starts));
            cluster.pass(random.nextInt(200));
            if (random.nextInt(10) == 0) {
                cluster.applyLate();
            }
            if (random.nextInt(30) == 0) {
                assertNextLeaderKnows(announced);
            }
        }
        cluster.deliver(call -> Delivery.ANSWERED);
        cluster.pass(4 * SETTLED_MS);
        FormerStarts read = cluster.replaceLeader();
        announced.forEach((machine, starts) -> assertEquals(starts, startsTo(machine, read)));
    }

    /** Replaces the leader; the next one goes on with what it reads. */
    private void assertNextLeaderKnows(Map<String, Set<Attempt>> announced) {
        StartLog before = cluster.log();
        FormerStarts read = cluster.replaceLeader();
        announced.forEach((machine, starts) -> starts.stream()
                .filter(start -> before.isStored(machine, start))
                .forEach(start -> assertTrue(startsTo(machine, read).contains(start), machine + " " + start)));
        announced.clear();
        read.machines().forEach(machine -> announced.put(machine.machine(), machine.starts()));
    }

    private static Delivery randomDelivery(SplittableRandom random) {
        return Delivery.values()[Math.max(0, random.nextInt(6) - 2)];
    }

    /** Keeps some of a machine's starts and adds new ones; attempts of a task are never the same on two machines. */
    private static Set<Attempt> randomStarts(SplittableRandom random, int step, Set<Attempt> before) {
        Set<Attempt> starts = new TreeSet<>((one, other) -> Long.compare(one.number(), other.number()));
        before.stream().filter(start -> random.nextInt(3) > 0).forEach(starts::add);
        IntStream.range(0, random.nextInt(3))
                .forEach(i -> starts.add(new Attempt("j-000001", random.nextInt(5), 10L * step + i + 1)));
        return new LinkedHashSet<>(starts);
    }
}
