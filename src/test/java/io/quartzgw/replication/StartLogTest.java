package io.quartzgw.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.model.Attempt;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The log of a leader and the replicas that follow it. */
class StartLogTest {
    private static final String MACHINE = "i-1";
    private static final Attempt FIRST = new Attempt("j-000001", 0, 7);
    private static final Attempt SECOND = new Attempt("j-000001", 1, 8);
    private static final int STEPS = 400;
    private static final int MACHINES = 12;
    private static final int FOLLOWERS = 2;

    private final StartLog log = new StartLog();

    @Test
    void startIsInTheVersionThatAddedItAndInLaterOnes() {
        log.put(MACHINE, Set.of(FIRST), 0);
        long added = log.version();
        log.put(MACHINE, Set.of(FIRST, SECOND), 0);
        assertFalse(log.isIn(added - 1, MACHINE, FIRST));
        assertTrue(log.isIn(added, MACHINE, FIRST));
        assertFalse(log.isIn(added, MACHINE, SECOND));
        assertTrue(log.isIn(log.version(), MACHINE, SECOND));
    }

    // Otherwise a follower that has only the earlier addition would count as having the later one.
    @Test
    void startThatIsAddedAgainHasANewVersion() {
        log.put(MACHINE, Set.of(FIRST), 0);
        long added = log.version();
        log.put(MACHINE, Set.of(), 0);
        log.put(MACHINE, Set.of(FIRST), 0);
        assertFalse(log.isIn(added, MACHINE, FIRST));
    }

    @Test
    void equalStartsAreNoChange() {
        assertTrue(log.put(MACHINE, Set.of(FIRST), 0));
        assertFalse(log.put(MACHINE, Set.of(FIRST), 1));
        assertFalse(log.put("i-2", Set.of(), 1));
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 40);
    }

    /**
     * Followers that get pages of changes, start anew at random and lag behind, against a plain map of each version.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void replicaEqualsTheLogAtItsVersionHoweverItIsPaged(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Long, Map<String, Set<Attempt>>> stateByVersion = new TreeMap<>();
        Map<String, Set<Attempt>> state = new TreeMap<>();
        stateByVersion.put(log.version(), Map.of());
        StartReplica[] replicas =
                IntStream.range(0, FOLLOWERS).mapToObj(i -> new StartReplica(1)).toArray(StartReplica[]::new);
        for (int step = 0; step < STEPS; step++) {
            String machine = "i-" + random.nextInt(MACHINES);
            Set<Attempt> starts = randomStarts(random);
            log.put(machine, starts, step);
            put(state, machine, starts);
            stateByVersion.put(log.version(), Map.copyOf(state));
            int follower = random.nextInt(FOLLOWERS);
            if (random.nextInt(50) == 0) {
                replicas[follower] = new StartReplica(1);
            } else if (random.nextInt(3) > 0) {
                boolean complete = update(replicas[follower], 1 + random.nextInt(8));
                if (complete) {
                    assertEquals(stateByVersion.get(replicas[follower].version()), startsOf(replicas[follower]));
                }
            }
            log.trim(Math.min(replicas[0].version(), replicas[1].version()));
        }
        while (!update(replicas[0], 3)) {
            assertTrue(replicas[0].version() < log.version());
        }
        assertEquals(state, startsOf(replicas[0]));
        assertEquals(
                state,
                log.machines().stream().collect(Collectors.toMap(MachineStarts::machine, MachineStarts::starts)));
    }

    private static void put(Map<String, Set<Attempt>> state, String machine, Set<Attempt> starts) {
        if (starts.isEmpty()) {
            state.remove(machine);
        } else {
            state.put(machine, starts);
        }
    }

    private static Set<Attempt> randomStarts(SplittableRandom random) {
        return IntStream.range(0, random.nextInt(4))
                .mapToObj(i -> new Attempt("j-000001", random.nextInt(5), 1 + random.nextInt(9)))
                .collect(Collectors.toSet());
    }

    private boolean update(StartReplica replica, int maxStarts) {
        StartLog.Changes changes = log.changesAfter(replica.version(), maxStarts);
        replica.apply(new ReplicaUpdate(
                "rig-0", 1, 1, replica.version(), changes.toVersion(), changes.complete(), changes.machines()));
        return changes.complete();
    }

    private static Map<String, Set<Attempt>> startsOf(StartReplica replica) {
        return replica.machines().stream().collect(Collectors.toMap(MachineStarts::machine, MachineStarts::starts));
    }

    @Test
    void pagesOfAReplicaHaveEachMachineOnce() {
        for (int i = 0; i < MACHINES; i++) {
            log.put("i-" + i, Set.of(FIRST, SECOND), 0);
        }
        StartReplica replica = new StartReplica(1, log.version(), log.machines());
        String after = "";
        int machines = 0;
        ReplicaPage page;
        do {
            page = replica.page(after, 5);
            List<MachineStarts> found = page.machines();
            machines += found.size();
            after = found.get(found.size() - 1).machine();
        } while (page.more());
        assertEquals(MACHINES, machines);
    }
}
