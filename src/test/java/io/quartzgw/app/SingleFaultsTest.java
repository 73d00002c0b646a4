package io.quartzgw.app;

import static io.quartzgw.app.ClusterFixtures.REPLICAS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Injects one fault per test and checks what users notice of it. */
class SingleFaultsTest {
    private static void assertNoTaskRestarted(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(REPLICAS, simulation.invariants().runningTasks().size());
        assertEquals(REPLICAS, simulation.invariants().startCount(), "no replica is restarted");
    }

    @Test
    void keepsTasksRunningWhenLeaderCrashes() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        simulation.crash(leader);
        simulation.runUntil(75_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another controller leads");
        simulation.start(leader);
        simulation.runUntil(120_000);
        assertNoTaskRestarted(simulation);
    }

    @Test
    void keepsTasksRunningWhenAllControllersCrash() {
        ClusterSimulation simulation = clusterWithServices();
        for (int i = 0; i < 3; i++) {
            simulation.crash(i);
            int controller = i;
            simulation.schedule(simulation.now() + 6_000 + 500L * i, () -> simulation.start(controller));
        }
        simulation.runUntil(120_000);
        assertNoTaskRestarted(simulation);
    }

    // When a paused leader resumes, it has received no heartbeats, and may not have been informed of its successor. It
    // must not declare machines lost.
    @ParameterizedTest
    @ValueSource(longs = {3_000L, 9_000L, 30_000L, 70_000L})
    void resumedLeaderDeclaresNoMachineLost(long pauseMs) {
        ClusterSimulation simulation = clusterWithServices();
        String leader = Hosts.controller(simulation.leader());
        simulation.pauseController(simulation.leader(), pauseMs);
        simulation.network().partition(leader, Hosts.ALL);
        simulation.runUntil(simulation.now() + pauseMs + 2_000);
        simulation.network().heal(leader, Hosts.ALL);
        simulation.runUntil(simulation.now() + 30_000);
        assertNoTaskRestarted(simulation);
        assertEquals(0, simulation.counter("machines.given_up"));
    }

    // The grace period starts at the time up to which the leader has received all cancellations.
    @Test
    void keepsTasksRunningWhenStoreOutageExceedsGracePeriodAndLease() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.store().setOutage(true);
        simulation.runUntil(simulation.now() + 60_000);
        simulation.store().setOutage(false);
        simulation.runUntil(simulation.now() + 30_000);
        assertNoTaskRestarted(simulation);
    }

    // Access to the state service is not sufficient for a leader: it must also reach agents.
    @Test
    void handsOverWhenLeaderIsPartitionedFromAllAgents() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(machine -> simulation.network().partition(Hosts.controller(leader), machine));
        simulation.runUntil(simulation.now() + 30_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another controller leads");
        machines.forEach(machine -> simulation.network().heal(Hosts.controller(leader), machine));
        simulation.runUntil(simulation.now() + 30_000);
        assertNoTaskRestarted(simulation);
    }

    // A failover, which takes a second, is preferred to letting the leases of a few agents expire.
    @Test
    void handsOverWhenLeaderIsPartitionedFromOneAgent() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        String machine = simulation.agents().machineIds().get(0);
        simulation.network().partition(Hosts.controller(leader), machine);
        simulation.runUntil(simulation.now() + 30_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another controller leads");
        assertNoTaskRestarted(simulation);
    }

    @Test
    void replacesLeaderThatOnlyAgentsReach() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        for (String other : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2), Hosts.STORE)) {
            simulation.network().partition(Hosts.controller(leader), other);
        }
        simulation.runUntil(simulation.now() + 30_000);
        assertTrue(simulation.hasLeader() && simulation.leader() != leader, "another controller leads");
        assertNoTaskRestarted(simulation);
    }

    // Unaccounted tasks: a machine that cannot reach the new leader may still get responses from the previous one, for
    // longer than the recovery window. Its tasks keep running meanwhile.
    @Test
    void restartsTasksOnlyAfterReservationWhenOnlyPreviousLeaderReachesMachine() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        String machine = simulation.agents().machineIds().get(0);
        for (String other : List.of(Hosts.controller(0), Hosts.controller(1), Hosts.controller(2))) {
            if (!other.equals(Hosts.controller(leader))) {
                simulation.network().partition(Hosts.controller(leader), other);
                simulation.network().partition(machine, other);
            }
        }
        simulation.network().partition(Hosts.controller(leader), Hosts.STORE);
        // No other machine may reveal the new fencing token to the previous leader.
        simulation.agents().machineIds().stream()
                .filter(other -> !other.equals(machine))
                .forEach(other -> simulation.network().partition(Hosts.controller(leader), other));
        simulation.runUntil(simulation.now() + 90_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(
                REPLICAS,
                simulation.invariants().runningTasks().size(),
                "replicas are placed again after the reservation has expired");
    }

    // Inbound traffic of half of the machines is blocked for several leases, while their heartbeats arrive. The leader
    // must not attribute this to a fault of its own, nor rent an unbounded number of replacements.
    @Test
    void keepsLeaderAndLimitsScaleOutWhenInboundTrafficIsBlocked() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        int machinesBefore = simulation.agents().machineIds().size();
        List<String> blocked = simulation.agents().machineIds().subList(0, (machinesBefore + 1) / 2);
        blocked.forEach(machine -> simulation.network().setInboundBlocked(machine, true));
        int maxMachines = machinesBefore;
        for (int second = 0; second < 90; second++) {
            if (second == 40) {
                // By now the leases of these machines have expired, and the machines seem to be empty.
                simulation.users().submitUntilAccepted(JobRequests.service("j-000090", "blue", 2, 2));
            }
            simulation.runUntil(simulation.now() + 1_000);
            maxMachines = Math.max(maxMachines, simulation.agents().machineIds().size());
            if (second == 60) {
                assertTrue(
                        simulation.invariants().runningTasks().contains("j-000090/0"),
                        "the task is placed on a machine that receives commands");
            }
        }
        assertEquals(leader, simulation.leader(), "the leader is not replaced");
        assertTrue(
                maxMachines <= 2 * machinesBefore + 1,
                maxMachines + " machines in use, but " + machinesBefore + " are sufficient");
        blocked.forEach(machine -> simulation.network().setInboundBlocked(machine, false));
        simulation.runUntil(simulation.now() + 40_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(List.of(), simulation.invariants().missingReplicas());
    }

    // The lease of the previous process is still valid, and the other controllers may not have noticed the crash.
    @ParameterizedTest
    @ValueSource(longs = {50L, 200L, 600L})
    void keepsTasksRunningWhenLeaderRestartsImmediately(long downMs) {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        simulation.crash(leader);
        simulation.runUntil(simulation.now() + downMs);
        simulation.start(leader);
        simulation.runUntil(simulation.now() + 8_000);
        assertTrue(simulation.hasLeader(), "there is a leader again");
        simulation.runUntil(simulation.now() + 60_000);
        assertNoTaskRestarted(simulation);
    }

    // A machine has rebooted before its missing heartbeats are noticed. Its new agent counts epochs from the first or
    // from the next one, and the tasks that ran on the machine have stopped.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void restartsReplicasAfterMachineReboot(boolean epochKept) {
        ClusterSimulation simulation = clusterWithServices();
        String machine = simulation.agents().machineIds().get(0);
        simulation.agents().reboot(machine, epochKept);
        simulation.runUntil(simulation.now() + 15_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(
                List.of(),
                simulation.invariants().missingReplicas(),
                "replicas run again long before a reservation would have expired");
    }

    // Delayed duplicates of a lost machine's heartbeats must not make it appear responsive.
    @Test
    void restartsReplicasOfLostMachineDespiteDuplicateHeartbeats() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().duplicateMessageShare(1);
        simulation.runUntil(simulation.now() + 30_000);
        String machine = simulation.agents().machineIds().get(0);
        simulation.network().partition(machine, Hosts.ALL);
        simulation.runUntil(simulation.now() + 36_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(
                List.of(),
                simulation.invariants().missingReplicas(),
                "replicas are placed again when the reservation has expired");
    }

    // A new leader could mistake a delayed duplicate for a machine's first heartbeat in the recovery window, and miss
    // the tasks started since. The machines are partitioned for less than their lease, so these tasks keep running.
    @Test
    void newLeaderIgnoresDuplicateHeartbeats() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().duplicateMessageShare(1);
        simulation.runUntil(simulation.now() + 20_000);
        for (int i = 0; i < 6; i++) {
            ObjectNode spec = JobRequests.array(JobRequests.id(50 + i), "blue", 4, 2, 60);
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

    // The cancellation cannot reach the leader, which answers its agents for at most the grace period.
    @Test
    void endsCancelledJobInTimeWhenLeaderIsPartitioned() {
        ClusterSimulation simulation = clusterWithServices();
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

    // The leader is partitioned from its peers and loses the notice of a job. The state service compacts its history
    // before the leader can watch again, so the leader does not see the change there either.
    @Test
    void runsJobWhenLeaderReceivesNeitherNoticeNorWatchEvent() {
        ClusterSimulation simulation = clusterWithServices();
        int leader = simulation.leader();
        for (int i = 0; i < 3; i++) {
            if (i != leader) {
                simulation.network().partition(Hosts.controller(leader), Hosts.controller(i));
            }
        }
        simulation.store().abortWatches();
        ObjectNode spec = JobRequests.array("j-000077", "blue", 3, 2, 5);
        int[] status = new int[1];
        simulation
                .users()
                .sendRequest((leader + 1) % 3, "POST", "/submissions", spec, reply -> status[0] = reply.status());
        simulation.users().submitUntilAccepted(spec);
        simulation.runUntil(simulation.now() + 100);
        simulation.store().compactHistory();
        simulation.runUntil(simulation.now() + 60_000);
        assertEquals(Optional.of("done"), simulation.invariants().terminalState("j-000077"));
        assertEquals(List.of(), simulation.invariants().violations());
    }

    @Test
    void movesReplicasOfFailedMachineOnce() {
        ClusterSimulation simulation = clusterWithServices();
        String machine = simulation.agents().machineIds().get(0);
        simulation.cloud().fail(machine, simulation.now());
        simulation.runUntil(simulation.now() + 60_000);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(REPLICAS, simulation.invariants().runningTasks().size());
    }

    @Test
    void returnsErrorImmediatelyDuringStoreOutage() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.store().setOutage(true);
        simulation.runUntil(simulation.now() + 2_000);
        long sentAt = simulation.now();
        long[] respondedAt = new long[1];
        int[] status = new int[1];
        simulation.users().sendRequest(0, "GET", "/submissions/j-000001", reply -> {
            respondedAt[0] = simulation.now();
            status[0] = reply.status();
        });
        simulation.runUntil(sentAt + 1_000);
        assertEquals(503, status[0]);
        assertTrue(respondedAt[0] - sentAt < 10, "the response is immediate");
    }

    // A controller must not be reported as not ready because it receives no requests.
    @Test
    void reportsReadyWithoutAnyRequests() {
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
    void returnsProtocolStatusForInvalidRequests() {
        ClusterSimulation simulation = clusterWithServices();
        ObjectNode valid = JobRequests.array("j-000100", "blue", 2, 2, 5);
        assertEquals(
                400, status(simulation, "POST", "/submissions", Json.object().put("id", "j-000101")));
        assertEquals(
                400, status(simulation, "POST", "/submissions", valid.deepCopy().put("shards", 0)));
        assertEquals(
                400, status(simulation, "POST", "/submissions", valid.deepCopy().put("shards", 1.5)));
        assertEquals(
                400, status(simulation, "POST", "/submissions", valid.deepCopy().put("cpus", -1.0)));
        assertEquals(
                400, status(simulation, "POST", "/submissions", valid.deepCopy().put("id", "x")));
        assertEquals(
                400, status(simulation, "POST", "/submissions", valid.deepCopy().put("urgency", "soon")));
        assertEquals(
                422, status(simulation, "POST", "/submissions", valid.deepCopy().put("crew", "nobody")));
        assertEquals(
                422, status(simulation, "POST", "/submissions", valid.deepCopy().put("cpus", 99.0)));
        assertEquals(422, status(simulation, "POST", "/submissions", JobRequests.service("j-000102", "red", 30, 2)));
        assertEquals(404, status(simulation, "GET", "/submissions/j-999999"));
        assertEquals(404, status(simulation, "GET", "/nothing"));
        assertEquals(405, status(simulation, "DELETE", "/submissions"));
        assertEquals(201, status(simulation, "POST", "/submissions", valid));
        assertEquals(
                200, status(simulation, "POST", "/submissions", valid.deepCopy().put("shards", "many")));
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
