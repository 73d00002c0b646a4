package io.quartzgw.replication;

import static io.quartzgw.replication.ReplicationFixture.HEARTBEAT_MS;
import static io.quartzgw.replication.ReplicationFixture.LEADER;
import static io.quartzgw.replication.ReplicationFixture.ONE;
import static io.quartzgw.replication.ReplicationFixture.OTHER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.model.Attempt;
import io.quartzgw.store.Transaction;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a start counts as known to the other controllers, and what they hold of it. */
class StartReplicatorTest {
    private static final String MACHINE = "i-1";
    private static final Attempt START = new Attempt("j-000001", 0, 7);
    private static final Attempt LATER = new Attempt("j-000001", 1, 8);
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final ReplicationFixture cluster = new ReplicationFixture();
    private final StartReplicator replicator = cluster.replicator();
    private final List<String> replicated = new ArrayList<>();

    @BeforeEach
    void begin() {
        replicator.onReplicated(replicated::add);
        cluster.run(() -> replicator.begin(cluster.store, Transaction.NO_REVISION));
        cluster.pass(HEARTBEAT_MS);
    }

    private void announce(Attempt... starts) {
        cluster.run(() -> replicator.announce(MACHINE, new LinkedHashSet<>(List.of(starts))));
    }

    private boolean isReplicated(Attempt start) {
        return replicator.isReplicated(MACHINE, start);
    }

    private Optional<Set<Attempt>> heldBy(String member) {
        return cluster.holder(member).complete().map(replica -> {
            Set<Attempt> starts = new LinkedHashSet<>();
            replica.machines().forEach(machine -> starts.addAll(machine.starts()));
            return starts;
        });
    }

    @Test
    void startIsReplicatedOnceBothFollowersHoldIt() {
        assertFalse(isReplicated(START));
        announce(START);
        assertTrue(isReplicated(START));
        assertEquals(List.of(MACHINE), replicated);
        assertEquals(Optional.of(Set.of(START)), heldBy(ONE));
        assertEquals(Optional.of(Set.of(START)), heldBy(OTHER));
    }

    @Test
    void startThatIsVoidLeavesTheReplicas() {
        announce(START);
        announce();
        assertFalse(isReplicated(START));
        assertEquals(Optional.of(Set.of()), heldBy(ONE));
    }

    // Guards against a successor that trusts a replica which lacks a start: the record comes first.
    @Test
    void startIsReplicatedWithoutAFollowerOnlyOnceTheRecordLeavesItOut() {
        cluster.end(ONE);
        cluster.stateService.setOutage(true);
        announce(START);
        assertFalse(isReplicated(START), "the record names both");
        cluster.stateService.setOutage(false);
        cluster.pass(HEARTBEAT_MS);
        assertTrue(isReplicated(START));
        assertEquals(Set.of(OTHER, LEADER), cluster.record().members());
        assertEquals(cluster.term.number(), cluster.record().term());
    }

    @Test
    void followerThatIsBackIsWaitedForAgainOnceItHoldsTheWholeLog() {
        cluster.end(ONE);
        announce(START);
        cluster.start(ONE);
        cluster.pass(2 * HEARTBEAT_MS);
        assertEquals(Optional.of(Set.of(START)), heldBy(ONE));
        assertEquals(Set.of(ONE, OTHER, LEADER), cluster.record().members());
        cluster.stateService.setOutage(true);
        cluster.end(ONE);
        announce(START, LATER);
        assertFalse(isReplicated(LATER), "it is waited for again");
    }

    // Guards against a successor that trusts a replica from before its follower was left out.
    @Test
    void recordNamesAFollowerAgainOnlyOnceItHoldsTheWholeLog() {
        int machines = 3 * ReplicaHolder.MAX_STARTS_PER_MESSAGE;
        cluster.setUnreachable(ONE, true);
        for (int i = 0; i < machines; i++) {
            replicator.announce("i-2" + i, Set.of(START));
        }
        cluster.pass(2 * HEARTBEAT_MS);
        assertEquals(Set.of(OTHER, LEADER), cluster.record().members());
        List<Integer> heldWhenNamed = new ArrayList<>();
        cluster.afterStoreCall(() -> {
            if (cluster.record().members().contains(ONE)) {
                heldWhenNamed.add(machinesHeldBy(ONE));
            }
        });
        cluster.setUnreachable(ONE, false);
        cluster.pass(2 * HEARTBEAT_MS);
        assertEquals(machines, heldWhenNamed.get(0));
    }

    private int machinesHeldBy(String member) {
        return cluster.holder(member).complete().orElseThrow().machines().size();
    }

    @Test
    void atLeastOneFollowerHasToHoldAStart() {
        cluster.end(ONE);
        cluster.end(OTHER);
        announce(START);
        cluster.pass(5 * HEARTBEAT_MS);
        assertFalse(isReplicated(START));
    }

    // Guards against a start that only a process which has ended has acknowledged.
    @Test
    void newProcessOfAFollowerGetsTheWholeLogWithinAHeartbeat() {
        announce(START);
        cluster.start(ONE);
        assertEquals(Optional.empty(), heldBy(ONE));
        cluster.pass(HEARTBEAT_MS);
        assertEquals(Optional.of(Set.of(START)), heldBy(ONE));
    }

    // Guards against a replica that looks complete and lacks what was announced since the copy was made.
    @Test
    void lateCopyOfAnUpdateToAFormerProcessIsNotApplied() {
        announce(START);
        List<Call> toFormerProcess = List.copyOf(cluster.delivered);
        cluster.start(ONE);
        toFormerProcess.forEach(call -> cluster.request(ONE, call.path(), call.body()));
        assertEquals(Optional.empty(), heldBy(ONE));
    }

    @Test
    void lateCopyOfAnUpdateToTheSameProcessIsNotApplied() {
        announce(START);
        List<Call> earlier = List.copyOf(cluster.delivered);
        announce();
        earlier.forEach(call -> cluster.request(ONE, call.path(), call.body()));
        assertEquals(Optional.of(Set.of()), heldBy(ONE));
    }

    // Guards against a start of a deposed leader that its successor has not taken over.
    @Test
    void followerThatKnowsAHigherTermAcknowledgesNothing() {
        cluster.observeTerm(ONE, cluster.term.number() + 1);
        // The state service rejects a record of the former term, as it does everything of that leader.
        cluster.stateService.setOutage(true);
        announce(START);
        assertFalse(isReplicated(START));
        assertEquals(Optional.of(Set.of()), heldBy(ONE));
        Call update = cluster.delivered.get(cluster.delivered.size() - 1);
        assertEquals(
                CONFLICT, cluster.request(ONE, update.path(), update.body()).status());
    }

    // Guards against a start that counts as replicated though the page that has it was not sent yet: its machine has
    // changed again, and comes later.
    @Test
    void startOfAMachineThatChangesAgainIsNotReplicatedByAnEarlierPage() {
        cluster.end(ONE);
        cluster.end(OTHER);
        cluster.run(() -> {
            replicator.announce(MACHINE, Set.of(START));
            for (int i = 0; i < ReplicaHolder.MAX_STARTS_PER_MESSAGE; i++) {
                replicator.announce("i-2" + i, Set.of(LATER));
            }
            replicator.announce(MACHINE, new LinkedHashSet<>(List.of(START, LATER)));
        });
        FollowerProgress progress = new FollowerProgress();
        progress.answered(update(0, 0, 0, true), new ReplicaStatus(5, 1, 0));
        progress.answered(update(5, 0, 600, false), new ReplicaStatus(5, 1, 600));
        assertEquals(600, progress.version());
        assertEquals(0, progress.caughtUpVersion(), "not the whole log");
        progress.answered(update(5, 600, 603, true), new ReplicaStatus(5, 1, 603));
        assertEquals(603, progress.caughtUpVersion());
        cluster.start(ONE);
        cluster.start(OTHER);
        cluster.pass(3 * HEARTBEAT_MS);
        assertTrue(isReplicated(START));
        assertTrue(cluster.delivered.stream().allMatch(call -> call.body().length < 64 * 1024));
    }

    private static ReplicaUpdate update(long receiver, long from, long to, boolean complete) {
        return new ReplicaUpdate(LEADER, receiver, 1, from, to, complete, List.of());
    }

    @Test
    void logIsNoReplicaForASuccessorBeforeItHasTheStartsOfFormerLeaders() {
        StartReplicator fresh = cluster.replicator();
        assertEquals(Optional.empty(), fresh.replica());
        announce(START);
        assertEquals(
                List.of(new MachineStarts(MACHINE, Set.of(START))),
                replicator.replica().orElseThrow().machines());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "{}",
                "{\"member\":\"rig-0\",\"receiver\":1,\"term\":1,\"from\":0,\"to\":1,\"complete\":true}",
                "{\"member\":\"rig-9\",\"receiver\":1,\"term\":1,\"from\":0,\"to\":1,\"complete\":true,\"machines\":{}}",
                "{\"member\":\"rig-0\",\"receiver\":1,\"term\":0,\"from\":0,\"to\":1,\"complete\":true,\"machines\":{}}",
                "{\"member\":\"rig-0\",\"receiver\":1,\"term\":1,\"from\":2,\"to\":1,\"complete\":true,\"machines\":{}}",
                "{\"member\":\"rig-0\",\"receiver\":1,\"term\":1,\"from\":0,\"to\":1,\"complete\":true,"
                        + "\"machines\":{\"i-1\":[[\"j-000001\",-1,7]]}}"
            })
    void malformedOrForeignRequestIsRejectedAndChangesNothing(String body) {
        announce(START);
        byte[] cbor = Json.writeCbor(Json.readOrNull(body.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        assertEquals(
                BAD_REQUEST,
                cluster.request(ONE, ReplicaHolder.UPDATE_PATH, cbor).status());
        assertEquals(
                BAD_REQUEST, cluster.request(ONE, ReplicaHolder.READ_PATH, cbor).status());
        assertEquals(Optional.of(Set.of(START)), heldBy(ONE));
    }
}
