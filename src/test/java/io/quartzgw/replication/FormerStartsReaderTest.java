package io.quartzgw.replication;

import static io.quartzgw.replication.ReplicationFixture.HEARTBEAT_MS;
import static io.quartzgw.replication.ReplicationFixture.LEADER;
import static io.quartzgw.replication.ReplicationFixture.ONE;
import static io.quartzgw.replication.ReplicationFixture.OTHER;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.leadership.ControllerIdentity;
import io.quartzgw.model.Attempt;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Where a new leader gets the starts of former ones from. */
class FormerStartsReaderTest {
    private static final long LIMIT_MS = 15_000;
    private static final long FORMER_TERM = 3;
    private static final Attempt START = new Attempt("j-000001", 0, 7);
    private static final int MANY_MACHINES = 1_500;

    private final ReplicationFixture cluster = new ReplicationFixture();
    private final ReplicaHolder own = new ReplicaHolder(
            cluster.eventLoop, cluster.leadership, new ControllerIdentity(LEADER, 1), Set.of(ONE, OTHER));
    private final List<FormerStarts> results = new ArrayList<>();

    private void read(InSyncRecord record) {
        FormerStartsReader reader = new FormerStartsReader(
                cluster.eventLoop,
                cluster.term,
                own,
                new FormerStartsReader.Identity(LEADER, cluster.endpoints),
                new FormerStartsReader.Timing(HEARTBEAT_MS, LIMIT_MS));
        cluster.run(() -> reader.read(record, results::add));
    }

    private static StartReplica replica(long term, int machines) {
        List<MachineStarts> starts = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            starts.add(new MachineStarts("i-" + i, Set.of(START)));
        }
        return new StartReplica(term, machines, starts);
    }

    private FormerStarts.Known known() {
        assertEquals(1, results.size());
        return assertInstanceOf(FormerStarts.Known.class, results.get(0));
    }

    @Test
    void ownReplicaIsTakenAtOnce() {
        own.adopt(replica(FORMER_TERM, 1));
        read(InSyncRecord.NONE);
        assertEquals(LEADER, known().source());
        assertEquals(1, known().replica().machines().size());
    }

    // Its process is new, so it has forgotten what it held.
    @Test
    void replicaOfAnotherControllerIsReadPageByPage() {
        cluster.holder(OTHER).adopt(replica(FORMER_TERM, MANY_MACHINES));
        read(InSyncRecord.NONE);
        assertEquals(OTHER, known().source());
        assertEquals(MANY_MACHINES, known().replica().machines().size());
        assertTrue(cluster.delivered.size() > 3, "several pages");
    }

    // Guards against a replica that lacks what its leader sent when it did not wait for it any more.
    @Test
    void replicaThatTheRecordLeavesOutIsNotTaken() {
        own.adopt(replica(FORMER_TERM, 0));
        cluster.holder(ONE).adopt(replica(FORMER_TERM - 1, 0));
        cluster.holder(OTHER).adopt(replica(FORMER_TERM, 2));
        read(new InSyncRecord(FORMER_TERM, Set.of(OTHER)));
        assertEquals(OTHER, known().source());
    }

    @Test
    void replicaOfALaterTermThanTheRecordIsTaken() {
        own.adopt(replica(FORMER_TERM + 1, 1));
        read(new InSyncRecord(FORMER_TERM, Set.of(OTHER)));
        assertEquals(LEADER, known().source());
    }

    @Test
    void startsAreUnknownAtOnceIfNobodyHoldsAReplica() {
        read(InSyncRecord.NONE);
        assertEquals(List.of(new FormerStarts.Unknown(2)), results);
    }

    // Jobs must not wait for ever for a controller that can't be reached.
    @Test
    void startsAreUnknownIfTheOnlyHolderDoesNotAnswerInTime() {
        cluster.end(OTHER);
        read(InSyncRecord.NONE);
        cluster.pass(LIMIT_MS - HEARTBEAT_MS);
        assertEquals(List.of(), results);
        cluster.pass(2 * HEARTBEAT_MS);
        assertEquals(List.of(new FormerStarts.Unknown(1)), results);
    }

    @Test
    void holderThatAnswersLaterIsWaitedFor() {
        cluster.end(OTHER);
        read(InSyncRecord.NONE);
        cluster.pass(2 * HEARTBEAT_MS);
        cluster.start(OTHER);
        cluster.holder(OTHER).adopt(replica(FORMER_TERM, 1));
        cluster.pass(2 * HEARTBEAT_MS);
        assertEquals(OTHER, known().source());
    }
}
