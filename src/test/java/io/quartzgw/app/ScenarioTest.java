package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Single failures, each with what users notice of it. */
class ScenarioTest {
    static final int SERVICES = 5;

    static ClusterSimulation withServices() {
        return withServices(5);
    }

    /** A simulation in which five services of two replicas each run. */
    static ClusterSimulation withServices(long seed) {
        return withServices(new ClusterSimulation(seed, 3));
    }

    static ClusterSimulation withServices(ClusterSimulation simulation) {
        for (int i = 0; i < SERVICES; i++) {
            ObjectNode spec = FailureTest.job("j-00000" + i, "blue", "daemon", 2, 2, 0);
            simulation.schedule(1_000, () -> simulation.users().submitUntilAccepted(spec));
        }
        simulation.runUntil(60_000);
        assertEquals(SERVICES * 2, simulation.invariants().runningTasks().size());
        assertEquals(SERVICES * 2, simulation.invariants().startCount());
        return simulation;
    }

    private static void assertNothingRestarted(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(SERVICES * 2, simulation.invariants().runningTasks().size());
        assertEquals(SERVICES * 2, simulation.invariants().startCount(), "no replica was started anew");
    }

    @Test
    void aCrashOfTheLeaderRestartsNothing() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        simulation.crash(leader);
        simulation.runUntil(75_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another node leads");
        simulation.start(leader);
        simulation.runUntil(120_000);
        assertNothingRestarted(simulation);
    }

    @Test
    void aCrashOfAllControllersRestartsNothing() {
        ClusterSimulation simulation = withServices();
        for (int i = 0; i < 3; i++) {
            simulation.crash(i);
            int node = i;
            simulation.schedule(simulation.now() + 6_000 + 500L * i, () -> simulation.start(node));
        }
        simulation.runUntil(120_000);
        assertNothingRestarted(simulation);
    }

    // Guards healthy machines: a leader that stood still has heard none of them when it wakes, and may not have heard
    // of its successor either.
    @Test
    void aLeaderThatStoodStillGivesUpNoMachine() {
        for (long stillMs : List.of(3_000L, 9_000L, 30_000L, 70_000L)) {
            ClusterSimulation simulation = withServices();
            String leader = Hosts.controller(simulation.leader());
            simulation.pauseController(simulation.leader(), stillMs);
            simulation.network().partition(leader, Hosts.ALL);
            simulation.runUntil(simulation.now() + stillMs + 2_000);
            simulation.network().heal(leader, Hosts.ALL);
            simulation.runUntil(simulation.now() + 30_000);
            assertNothingRestarted(simulation);
            assertEquals(0, simulation.counters().getOrDefault("machines.given_up", 0L));
        }
    }

    // Guards the grace: it counts from the moment up to which the leader knows all cancellations.
    @Test
    void anOutageLongerThanGraceAndLeaseRestartsNothing() {
        ClusterSimulation simulation = withServices();
        simulation.store().setOutage(true);
        simulation.runUntil(simulation.now() + 60_000);
        simulation.store().setOutage(false);
        simulation.runUntil(simulation.now() + 30_000);
        assertNothingRestarted(simulation);
    }

    // Guards against leadership that is judged by the state service alone.
    @Test
    void aLeaderCutFromTheWorkersHandsOver() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(machine -> simulation.network().partition(Hosts.controller(leader), machine));
        simulation.runUntil(simulation.now() + 30_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another node leads");
        machines.forEach(machine -> simulation.network().heal(Hosts.controller(leader), machine));
        simulation.runUntil(simulation.now() + 30_000);
        assertNothingRestarted(simulation);
    }

    // Guards a part of the workers: their leases count as much as a takeover of a second.
    @Test
    void aLeaderCutFromAPartOfTheWorkersHandsOver() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        String machine = simulation.agents().machineIds().get(0);
        simulation.network().partition(Hosts.controller(leader), machine);
        simulation.runUntil(simulation.now() + 30_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another node leads");
        assertNothingRestarted(simulation);
    }

    @Test
    void aLeaderCutFromAllButItsWorkersStopsAnsweringThem() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        for (String other : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2), Hosts.STORE)) {
            simulation.network().partition(Hosts.controller(leader), other);
        }
        simulation.runUntil(simulation.now() + 30_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another node leads");
        assertNothingRestarted(simulation);
    }

    // Guards unaccounted tasks: a machine that is silent to the successor may be answered by the former leader for
    // longer than the window lasts, and its tasks run on.
    @Test
    void tasksThatOnlyTheFormerLeaderReachesRunNowhereElse() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        String machine = simulation.agents().machineIds().get(0);
        for (String other : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2))) {
            if (!other.equals(Hosts.controller(leader))) {
                simulation.network().partition(Hosts.controller(leader), other);
                simulation.network().partition(machine, other);
            }
        }
        simulation.network().partition(Hosts.controller(leader), Hosts.STORE);
        // No other machine may show the former leader the new token.
        simulation.agents().machineIds().stream()
                .filter(other -> !other.equals(machine))
                .forEach(other -> simulation.network().partition(Hosts.controller(leader), other));
        simulation.runUntil(simulation.now() + 90_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(SERVICES * 2, simulation.invariants().runningTasks().size(), "placed again after the hold");
    }

    // Guards against a leader that takes machines which hear nobody for its own fault, and against renting anew
    // for them without bound: half of them hear nothing for several leases, while all their reports arrive.
    @Test
    void machinesThatHearNothingDeposeNobodyAndAreNotReplacedForEver() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        int before = simulation.agents().machineIds().size();
        List<String> deaf = simulation.agents().machineIds().subList(0, (before + 1) / 2);
        deaf.forEach(machine -> simulation.network().setInboundBlocked(machine, true));
        int most = before;
        for (int second = 0; second < 90; second++) {
            if (second == 40) {
                // By now their leases are over, and they look empty.
                simulation.users().submitUntilAccepted(FailureTest.job("j-000090", "blue", "daemon", 2, 2, 0));
            }
            simulation.runUntil(simulation.now() + 1_000);
            most = Math.max(most, simulation.agents().machineIds().size());
            if (second == 60) {
                assertTrue(
                        simulation.invariants().runningTasks().contains("j-000090/0"),
                        "not placed where nothing arrives");
            }
        }
        assertEquals(leader, simulation.leader(), "the leader stays");
        assertTrue(most <= 2 * before + 1, most + " machines where " + before + " do");
        deaf.forEach(machine -> simulation.network().setInboundBlocked(machine, false));
        simulation.runUntil(simulation.now() + 40_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(List.of(), simulation.invariants().missingReplicas());
    }

    // Guards the word of a former process: its hold still stands, and the others may not have noticed.
    @Test
    void aLeaderThatIsBackAtOnceRestartsNothing() {
        for (long downMs : List.of(50L, 200L, 600L)) {
            ClusterSimulation simulation = withServices();
            int leader = simulation.leader();
            simulation.crash(leader);
            simulation.runUntil(simulation.now() + downMs);
            simulation.start(leader);
            simulation.runUntil(simulation.now() + 8_000);
            assertTrue(simulation.hasLeader(), "somebody leads again");
            simulation.runUntil(simulation.now() + 60_000);
            assertNothingRestarted(simulation);
        }
    }

    // Guards against a machine that is back before its silence shows: its new worker counts from the start or
    // from the next session, and what ran there is gone.
    @Test
    void aMachineThatIsBackAtOnceRunsItsReplicasAgain() {
        for (boolean counting : List.of(true, false)) {
            ClusterSimulation simulation = withServices();
            String machine = simulation.agents().machineIds().get(0);
            simulation.agents().reboot(machine, counting);
            simulation.runUntil(simulation.now() + 15_000);
            assertEquals(List.of(), simulation.invariants().violations());
            assertEquals(List.of(), simulation.invariants().missingReplicas(), "long before a hold would have ended");
        }
    }

    // Guards the hold: late copies of a lost machine's reports must not show it as alive.
    @Test
    void lateCopiesDoNotHoldALostMachinesReplicas() {
        ClusterSimulation simulation = withServices();
        simulation.network().duplicateMessageShare(1);
        simulation.runUntil(simulation.now() + 30_000);
        String machine = simulation.agents().machineIds().get(0);
        simulation.network().partition(machine, Hosts.ALL);
        simulation.runUntil(simulation.now() + 36_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(List.of(), simulation.invariants().missingReplicas(), "placed again when the hold has ended");
    }

    // Guards the gather window: to a new leader a late copy looks like a machine's first word, and hides what
    // was started since. The machine itself is cut off for less than its lease, so all of that runs on.
    @Test
    void lateCopiesDoNotSpeakForAMachineToANewLeader() {
        ClusterSimulation simulation = withServices();
        simulation.network().duplicateMessageShare(1);
        simulation.runUntil(simulation.now() + 20_000);
        for (int i = 0; i < 6; i++) {
            ObjectNode spec = FailureTest.job("j-00005" + i, "blue", "array", 4, 2, 60);
            simulation.users().submitUntilAccepted(spec);
        }
        simulation.runUntil(simulation.now() + 20_000);
        int leader = simulation.leader();
        simulation.crash(leader);
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
        simulation.runUntil(simulation.now() + 13_000);
        machines.forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        simulation.start(leader);
        simulation.runUntil(simulation.now() + 60_000);
        assertEquals(List.of(), simulation.invariants().violations());
    }

    // Guards cancellations that the leader can't hear of: it answers its workers for the grace at the most.
    @Test
    void aJobThatIsCancelledBehindACutOffLeadersBackEndsInTime() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        for (String other : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2), Hosts.STORE)) {
            simulation.network().partition(Hosts.controller(leader), other);
        }
        simulation.runUntil(simulation.now() + 1_000);
        int[] status = new int[1];
        simulation.users().cancelJob((leader + 1) % 3, "j-000001", reply -> status[0] = reply.status());
        for (int second = 0; second < 60; second++) {
            simulation.runUntil(simulation.now() + 1_000);
            simulation.invariants().checkDeadlines(simulation.now());
        }
        assertEquals(200, status[0]);
        assertEquals(List.of(), simulation.invariants().violations());
        assertTrue(simulation.invariants().runningTasks().stream().noneMatch(task -> task.startsWith("j-000001/")));
    }

    // Guards jobs that a leader hears of in no ordinary way: the notice is lost with a cut between controllers,
    // and the changes are gone from the state service before the leader can follow again.
    @Test
    void aJobThatNeitherNoticeNorFollowToldOfRuns() {
        ClusterSimulation simulation = withServices();
        int leader = simulation.leader();
        for (int i = 0; i < 3; i++) {
            if (i != leader) {
                simulation.network().partition(Hosts.controller(leader), Hosts.controller(i));
            }
        }
        simulation.store().abortWatches();
        ObjectNode spec = FailureTest.job("j-000077", "blue", "array", 3, 2, 5);
        int[] status = new int[1];
        simulation
                .users()
                .sendRequest((leader + 1) % 3, "POST", "/submissions", spec, reply -> status[0] = reply.status());
        simulation.users().submitUntilAccepted(spec);
        simulation.runUntil(simulation.now() + 100);
        simulation.store().compactHistory();
        simulation.runUntil(simulation.now() + 60_000);
        assertEquals(Optional.of("done"), simulation.invariants().finalPhase("j-000077"));
        assertEquals(List.of(), simulation.invariants().violations());
    }

    @Test
    void aDeadMachinesReplicasMoveOnce() {
        ClusterSimulation simulation = withServices();
        String machine = simulation.agents().machineIds().get(0);
        simulation.cloud().fail(machine, simulation.now());
        simulation.runUntil(simulation.now() + 60_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(SERVICES * 2, simulation.invariants().runningTasks().size());
    }

    @Test
    void withoutTheStateServiceUsersAreToldAtOnce() {
        ClusterSimulation simulation = withServices();
        simulation.store().setOutage(true);
        simulation.runUntil(simulation.now() + 2_000);
        long asked = simulation.now();
        long[] answeredAt = new long[1];
        int[] status = new int[1];
        simulation.users().sendRequest(0, "GET", "/submissions/j-000001", reply -> {
            answeredAt[0] = simulation.now();
            status[0] = reply.status();
        });
        simulation.runUntil(asked + 1_000);
        assertEquals(503, status[0]);
        assertTrue(answeredAt[0] - asked < 10, "at once");
    }

    // Guards against a node that counts as unable because its users are quiet.
    @Test
    void aQuietNodeIsReady() {
        ClusterSimulation simulation = new ClusterSimulation(7, 3);
        simulation.runUntil(60_000);
        for (int i = 0; i < 3; i++) {
            int[] status = new int[1];
            simulation.users().sendRequest(i, "GET", "/ready", reply -> status[0] = reply.status());
            simulation.runUntil(simulation.now() + 100);
            assertEquals(200, status[0], Hosts.controller(i));
        }
    }

    @Test
    void badInputIsAnsweredAsTheProtocolSays() {
        ClusterSimulation simulation = withServices();
        ObjectNode good = FailureTest.job("j-000100", "blue", "array", 2, 2, 5);
        assertEquals(
                400, status(simulation, "POST", "/submissions", Json.object().put("id", "j-000101")));
        assertEquals(
                400, status(simulation, "POST", "/submissions", good.deepCopy().put("shards", 0)));
        assertEquals(
                400, status(simulation, "POST", "/submissions", good.deepCopy().put("shards", 1.5)));
        assertEquals(
                400, status(simulation, "POST", "/submissions", good.deepCopy().put("cpus", -1.0)));
        assertEquals(
                400, status(simulation, "POST", "/submissions", good.deepCopy().put("id", "x")));
        assertEquals(
                400, status(simulation, "POST", "/submissions", good.deepCopy().put("urgency", "soon")));
        assertEquals(
                422, status(simulation, "POST", "/submissions", good.deepCopy().put("crew", "nobody")));
        assertEquals(
                422, status(simulation, "POST", "/submissions", good.deepCopy().put("cpus", 99.0)));
        assertEquals(
                422,
                status(simulation, "POST", "/submissions", FailureTest.job("j-000102", "red", "daemon", 30, 2, 0)));
        assertEquals(404, status(simulation, "GET", "/submissions/j-999999"));
        assertEquals(404, status(simulation, "GET", "/nothing"));
        assertEquals(405, status(simulation, "DELETE", "/submissions"));
        assertEquals(201, status(simulation, "POST", "/submissions", good));
        assertEquals(
                200, status(simulation, "POST", "/submissions", good.deepCopy().put("shards", "many")));
    }

    private static int status(ClusterSimulation simulation, String method, String path) {
        int[] status = new int[1];
        simulation.users().sendRequest(1, method, path, reply -> status[0] = reply.status());
        simulation.runUntil(simulation.now() + 1_000);
        return status[0];
    }

    private static int status(ClusterSimulation simulation, String method, String path, ObjectNode body) {
        int[] status = new int[1];
        simulation.users().sendRequest(1, method, path, body, reply -> status[0] = reply.status());
        simulation.runUntil(simulation.now() + 1_000);
        return status[0];
    }
}
