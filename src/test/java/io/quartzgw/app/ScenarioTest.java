package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Single failures, each with what users notice of it. */
class ScenarioTest {
    static final int SERVICES = 5;

    static ClusterSimulation withServices() {
        return withServices(5);
    }

    /** A world in which five services of two replicas each run. */
    static ClusterSimulation withServices(long seed) {
        return withServices(new ClusterSimulation(seed, 3));
    }

    static ClusterSimulation withServices(ClusterSimulation world) {
        for (int i = 0; i < SERVICES; i++) {
            ObjectNode spec = FailureTest.job("j-00000" + i, "blue", "daemon", 2, 2, 0);
            world.at(1_000, () -> world.job(spec, null));
        }
        world.runUntil(60_000);
        assertEquals(SERVICES * 2, world.invariants.runningTasks().size());
        assertEquals(SERVICES * 2, world.invariants.started());
        return world;
    }

    private static void assertNothingRestarted(ClusterSimulation world) {
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(SERVICES * 2, world.invariants.runningTasks().size());
        assertEquals(SERVICES * 2, world.invariants.started(), "no replica was started anew");
    }

    @Test
    void aCrashOfTheLeaderRestartsNothing() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        world.crash(leader);
        world.runUntil(75_000);
        assertTrue(world.leader() >= 0 && world.leader() != leader, "another node leads");
        world.start(leader);
        world.runUntil(120_000);
        assertNothingRestarted(world);
    }

    @Test
    void aCrashOfAllControllersRestartsNothing() {
        ClusterSimulation world = withServices();
        for (int i = 0; i < 3; i++) {
            world.crash(i);
            int node = i;
            world.at(world.now() + 6_000 + 500L * i, () -> world.start(node));
        }
        world.runUntil(120_000);
        assertNothingRestarted(world);
    }

    // Guards healthy machines: a leader that stood still has heard none of them when it wakes, and may not have heard
    // of its successor either.
    @Test
    void aLeaderThatStoodStillGivesUpNoMachine() {
        for (long stillMs : List.of(3_000L, 9_000L, 30_000L, 70_000L)) {
            ClusterSimulation world = withServices();
            String leader = "rig-" + world.leader();
            world.freeze(world.leader(), stillMs);
            world.cut(leader, "*");
            world.runUntil(world.now() + stillMs + 2_000);
            world.heal(leader, "*");
            world.runUntil(world.now() + 30_000);
            assertNothingRestarted(world);
            assertEquals(0, world.counts().getOrDefault("machines.given_up", 0L));
        }
    }

    // Guards the grace: it counts from the moment up to which the leader knows all cancellations.
    @Test
    void anOutageLongerThanGraceAndLeaseRestartsNothing() {
        ClusterSimulation world = withServices();
        world.store.outage(true);
        world.runUntil(world.now() + 60_000);
        world.store.outage(false);
        world.runUntil(world.now() + 30_000);
        assertNothingRestarted(world);
    }

    // Guards against leadership that is judged by the state service alone.
    @Test
    void aLeaderCutFromTheWorkersHandsOver() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        List<String> machines = world.machines();
        machines.forEach(machine -> world.cut("rig-" + leader, machine));
        world.runUntil(world.now() + 30_000);
        assertTrue(world.leader() >= 0 && world.leader() != leader, "another node leads");
        machines.forEach(machine -> world.heal("rig-" + leader, machine));
        world.runUntil(world.now() + 30_000);
        assertNothingRestarted(world);
    }

    // Guards a part of the workers: their leases count as much as a takeover of a second.
    @Test
    void aLeaderCutFromAPartOfTheWorkersHandsOver() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        String machine = world.machines().get(0);
        world.cut("rig-" + leader, machine);
        world.runUntil(world.now() + 30_000);
        assertTrue(world.leader() >= 0 && world.leader() != leader, "another node leads");
        assertNothingRestarted(world);
    }

    @Test
    void aLeaderCutFromAllButItsWorkersStopsAnsweringThem() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        for (String other : List.of("rig-0", "rig-1", "rig-2", ClusterSimulation.STORE)) {
            world.cut("rig-" + leader, other);
        }
        world.runUntil(world.now() + 30_000);
        assertTrue(world.leader() >= 0 && world.leader() != leader, "another node leads");
        assertNothingRestarted(world);
    }

    // Guards unaccounted tasks: a machine that is silent to the successor may be answered by the former leader for
    // longer than the window lasts, and its tasks run on.
    @Test
    void tasksThatOnlyTheFormerLeaderReachesRunNowhereElse() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        String machine = world.machines().get(0);
        for (String other : List.of("rig-0", "rig-1", "rig-2")) {
            if (!other.equals("rig-" + leader)) {
                world.cut("rig-" + leader, other);
                world.cut(machine, other);
            }
        }
        world.cut("rig-" + leader, ClusterSimulation.STORE);
        // No other machine may show the former leader the new token.
        world.machines().stream()
                .filter(other -> !other.equals(machine))
                .forEach(other -> world.cut("rig-" + leader, other));
        world.runUntil(world.now() + 90_000);
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(SERVICES * 2, world.invariants.runningTasks().size(), "placed again after the hold");
    }

    // Guards against a leader that takes machines which hear nobody for its own fault, and against renting anew
    // for them without bound: half of them hear nothing for several leases, while all their reports arrive.
    @Test
    void machinesThatHearNothingDeposeNobodyAndAreNotReplacedForEver() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        int before = world.machines().size();
        List<String> deaf = world.machines().subList(0, (before + 1) / 2);
        deaf.forEach(machine -> world.deafen(machine, true));
        int most = before;
        for (int second = 0; second < 90; second++) {
            if (second == 40) {
                // By now their leases are over, and they look empty.
                world.job(FailureTest.job("j-000090", "blue", "daemon", 2, 2, 0), null);
            }
            world.runUntil(world.now() + 1_000);
            most = Math.max(most, world.machines().size());
            if (second == 60) {
                assertTrue(world.invariants.runningTasks().contains("j-000090/0"), "not placed where nothing arrives");
            }
        }
        assertEquals(leader, world.leader(), "the leader stays");
        assertTrue(most <= 2 * before + 1, most + " machines where " + before + " do");
        deaf.forEach(machine -> world.deafen(machine, false));
        world.runUntil(world.now() + 40_000);
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(List.of(), world.invariants.missingReplicas());
    }

    // Guards the word of a former process: its hold still stands, and the others may not have noticed.
    @Test
    void aLeaderThatIsBackAtOnceRestartsNothing() {
        for (long downMs : List.of(50L, 200L, 600L)) {
            ClusterSimulation world = withServices();
            int leader = world.leader();
            world.crash(leader);
            world.runUntil(world.now() + downMs);
            world.start(leader);
            world.runUntil(world.now() + 8_000);
            assertTrue(world.leader() >= 0, "somebody leads again");
            world.runUntil(world.now() + 60_000);
            assertNothingRestarted(world);
        }
    }

    // Guards against a machine that is back before its silence shows: its new worker counts from the start or
    // from the next session, and what ran there is gone.
    @Test
    void aMachineThatIsBackAtOnceRunsItsReplicasAgain() {
        for (boolean counting : List.of(true, false)) {
            ClusterSimulation world = withServices();
            String machine = world.machines().get(0);
            world.reboot(machine, counting);
            world.runUntil(world.now() + 15_000);
            assertEquals(List.of(), world.invariants.broken());
            assertEquals(List.of(), world.invariants.missingReplicas(), "long before a hold would have ended");
        }
    }

    // Guards the hold: late copies of a lost machine's reports must not show it as alive.
    @Test
    void lateCopiesDoNotHoldALostMachinesReplicas() {
        ClusterSimulation world = withServices();
        world.lateCopies(1);
        world.runUntil(world.now() + 30_000);
        String machine = world.machines().get(0);
        world.cut(machine, "*");
        world.runUntil(world.now() + 36_000);
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(List.of(), world.invariants.missingReplicas(), "placed again when the hold has ended");
    }

    // Guards the gather window: to a new leader a late copy looks like a machine's first word, and hides what
    // was started since. The machine itself is cut off for less than its lease, so all of that runs on.
    @Test
    void lateCopiesDoNotSpeakForAMachineToANewLeader() {
        ClusterSimulation world = withServices();
        world.lateCopies(1);
        world.runUntil(world.now() + 20_000);
        for (int i = 0; i < 6; i++) {
            ObjectNode spec = FailureTest.job("j-00005" + i, "blue", "array", 4, 2, 60);
            world.job(spec, null);
        }
        world.runUntil(world.now() + 20_000);
        int leader = world.leader();
        world.crash(leader);
        List<String> machines = world.machines();
        machines.forEach(machine -> world.cut(machine, "*"));
        world.runUntil(world.now() + 13_000);
        machines.forEach(machine -> world.heal(machine, "*"));
        world.start(leader);
        world.runUntil(world.now() + 60_000);
        assertEquals(List.of(), world.invariants.broken());
    }

    // Guards cancellations that the leader can't hear of: it answers its workers for the grace at the most.
    @Test
    void aJobThatIsCancelledBehindACutOffLeadersBackEndsInTime() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        for (String other : List.of("rig-0", "rig-1", "rig-2", ClusterSimulation.STORE)) {
            world.cut("rig-" + leader, other);
        }
        world.runUntil(world.now() + 1_000);
        int[] status = new int[1];
        world.abort((leader + 1) % 3, "j-000001", reply -> status[0] = reply.status());
        for (int second = 0; second < 60; second++) {
            world.runUntil(world.now() + 1_000);
            world.invariants.sweep(world.now());
        }
        assertEquals(200, status[0]);
        assertEquals(List.of(), world.invariants.broken());
        assertTrue(world.invariants.runningTasks().stream().noneMatch(task -> task.startsWith("j-000001/")));
    }

    // Guards jobs that a leader hears of in no ordinary way: the notice is lost with a cut between controllers,
    // and the changes are gone from the state service before the leader can follow again.
    @Test
    void aJobThatNeitherNoticeNorFollowToldOfRuns() {
        ClusterSimulation world = withServices();
        int leader = world.leader();
        for (int i = 0; i < 3; i++) {
            if (i != leader) {
                world.cut("rig-" + leader, "rig-" + i);
            }
        }
        world.store.breakFollows();
        ObjectNode spec = FailureTest.job("j-000077", "blue", "array", 3, 2, 5);
        int[] status = new int[1];
        world.user((leader + 1) % 3, "POST", "/submissions", spec, reply -> status[0] = reply.status());
        world.job(spec, null);
        world.runUntil(world.now() + 100);
        world.store.forgetNews();
        world.runUntil(world.now() + 60_000);
        assertEquals("done", world.invariants.finalPhase("j-000077"));
        assertEquals(List.of(), world.invariants.broken());
    }

    @Test
    void aDeadMachinesReplicasMoveOnce() {
        ClusterSimulation world = withServices();
        String machine = world.machines().get(0);
        world.cloud.fail(machine, world.now());
        world.runUntil(world.now() + 60_000);
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(SERVICES * 2, world.invariants.runningTasks().size());
    }

    @Test
    void withoutTheStateServiceUsersAreToldAtOnce() {
        ClusterSimulation world = withServices();
        world.store.outage(true);
        world.runUntil(world.now() + 2_000);
        long asked = world.now();
        long[] answeredAt = new long[1];
        int[] status = new int[1];
        world.user(0, "GET", "/submissions/" + "j-000001", null, reply -> {
            answeredAt[0] = world.now();
            status[0] = reply.status();
        });
        world.runUntil(asked + 1_000);
        assertEquals(503, status[0]);
        assertTrue(answeredAt[0] - asked < 10, "at once");
    }

    // Guards against a node that counts as unable because its users are quiet.
    @Test
    void aQuietNodeIsReady() {
        ClusterSimulation world = new ClusterSimulation(7, 3);
        world.runUntil(60_000);
        for (int i = 0; i < 3; i++) {
            int[] status = new int[1];
            world.user(i, "GET", "/ready", null, reply -> status[0] = reply.status());
            world.runUntil(world.now() + 100);
            assertEquals(200, status[0], "rig-" + i);
        }
    }

    @Test
    void badInputIsAnsweredAsTheProtocolSays() {
        ClusterSimulation world = withServices();
        ObjectNode good = FailureTest.job("j-000100", "blue", "array", 2, 2, 5);
        assertEquals(400, status(world, "POST", "/submissions", Json.object().put("id", "j-000101")));
        assertEquals(400, status(world, "POST", "/submissions", good.deepCopy().put("shards", 0)));
        assertEquals(400, status(world, "POST", "/submissions", good.deepCopy().put("shards", 1.5)));
        assertEquals(400, status(world, "POST", "/submissions", good.deepCopy().put("cpus", -1.0)));
        assertEquals(400, status(world, "POST", "/submissions", good.deepCopy().put("id", "x")));
        assertEquals(400, status(world, "POST", "/submissions", good.deepCopy().put("urgency", "soon")));
        assertEquals(422, status(world, "POST", "/submissions", good.deepCopy().put("crew", "nobody")));
        assertEquals(422, status(world, "POST", "/submissions", good.deepCopy().put("cpus", 99.0)));
        assertEquals(
                422, status(world, "POST", "/submissions", FailureTest.job("j-000102", "red", "daemon", 30, 2, 0)));
        assertEquals(404, status(world, "GET", "/submissions/j-999999", null));
        assertEquals(404, status(world, "GET", "/nothing", null));
        assertEquals(405, status(world, "DELETE", "/submissions", null));
        assertEquals(201, status(world, "POST", "/submissions", good));
        assertEquals(200, status(world, "POST", "/submissions", good.deepCopy().put("shards", "many")));
    }

    private static int status(ClusterSimulation world, String method, String path, ObjectNode body) {
        int[] status = new int[1];
        world.user(1, method, path, body, reply -> status[0] = reply.status());
        world.runUntil(world.now() + 1_000);
        return status[0];
    }
}
