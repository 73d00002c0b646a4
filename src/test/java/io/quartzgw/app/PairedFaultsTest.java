package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllCompleted;
import static io.quartzgw.app.ClusterAssertions.assertAllEnded;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.REPLICAS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static io.quartzgw.app.ClusterFixtures.firstHalf;
import static io.quartzgw.app.ClusterFixtures.submitArrays;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Pairs of simultaneous faults that operators have seen; docs/design.md lists all of them. */
class PairedFaultsTest {
    @Test
    void completesJobsAfterAllControllersAreDownLongerThanLease() {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 4, 5, 25, "red");
        simulation.runChecked(10_000);
        IntStream.range(0, 3).forEach(simulation::crash);
        simulation.runChecked(AGENT_LEASE_MS + 9_000);
        IntStream.range(0, 3).forEach(simulation::start);
        simulation.runChecked(30_000);
        assertHealthy(simulation);
        simulation.runChecked(90_000);
        assertAllCompleted(simulation, jobs);
    }

    // Agents report the end of a task until it is recorded, whichever controller leads. The crash must lose none.
    @Test
    void completesJobsWithStaggeredTasksDespiteLeaderCrash() {
        for (long crashAt = 4_000; crashAt <= 40_000; crashAt += 2_000) {
            ClusterSimulation simulation = clusterWithServices();
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                ObjectNode spec = JobRequests.array(JobRequests.id(400 + i), "blue", 2 + i % 2, 4, 3);
                simulation.users().submitUntilAccepted(spec.put("each_longer_s", 10 + 2 * i));
                jobs.add(JobRequests.id(400 + i));
            }
            simulation.runChecked(crashAt);
            simulation.crash(simulation.leader(), 5_000);
            simulation.runChecked(75_000);
            assertHealthy(simulation);
            assertAllCompleted(simulation, jobs);
        }
    }

    @Test
    void completesZoneBoundJobsWhenMachinesAreLost() {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ObjectNode spec = JobRequests.array(JobRequests.id(400 + i), "blue", 4 + i, 4, 15);
            simulation
                    .users()
                    .submitUntilAccepted(
                            i % 2 == 0 ? spec.put("yard", i % 4 == 0 ? "a" : "b") : spec.put("together", true));
            jobs.add(JobRequests.id(400 + i));
        }
        simulation
                .users()
                .submitUntilAccepted(
                        JobRequests.service("j-000410", "blue", 3, 2).put("yard", "a"));
        simulation.runChecked(14_000);
        List<String> lost = simulation.agents().machineIds();
        for (int i = 0; i < lost.size(); i += 2) {
            String machine = lost.get(i);
            if (i % 4 == 0) {
                simulation.cloud().fail(machine, simulation.now());
            } else {
                simulation.network().partition(machine, Hosts.ALL);
                simulation.schedule(
                        simulation.now() + 2 * AGENT_LEASE_MS,
                        () -> simulation.network().heal(machine, Hosts.ALL));
            }
            if (i == 4) {
                simulation.crash(simulation.leader());
            }
        }
        simulation.runChecked(10_000);
        IntStream.range(0, 3).filter(controller -> !simulation.isUp(controller)).forEach(simulation::start);
        simulation.runChecked(120_000);
        assertHealthy(simulation);
        assertAllCompleted(simulation, jobs);
    }

    // Leases expire although commands are still answered. The tasks of such a machine must run elsewhere, exactly once.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void movesReplicasWhenOnlyHeartbeatsAreBlocked(boolean leaderCrashes) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 5, 4, 30, "red");
        simulation.runChecked(8_000);
        List<String> unresponsive = firstHalf(simulation.agents().machineIds());
        unresponsive.forEach(machine -> simulation.network().setHeartbeatsBlocked(machine, true));
        simulation.users().cancelRunningJobs(2);
        if (leaderCrashes) {
            simulation.runChecked(1_000);
            simulation.crash(simulation.leader(), 5_000);
        }
        simulation.runChecked(3 * AGENT_LEASE_MS);
        assertEquals(
                List.of(),
                simulation.invariants().missingReplicas(),
                "all replicas run, on machines whose heartbeats arrive");
        unresponsive.forEach(machine -> simulation.network().setHeartbeatsBlocked(machine, false));
        simulation.runChecked(90_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    @Test
    void endsJobsWhenTransactionsAreAppliedOutOfOrder() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().delayTransactionShare(0.3);
        List<String> jobs = submitArrays(simulation, 8, 5, 6, "red");
        simulation.runChecked(8_000);
        simulation.crash(simulation.leader(), 700);
        simulation.runChecked(10_000);
        simulation.users().cancelRunningJobs(2);
        simulation.runChecked(20_000);
        simulation.network().delayTransactionShare(0);
        simulation.runChecked(100_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Requests arrive at the moment when the last task ends. All controllers must report the same terminal state then.
    @Test
    void returnsSameFinalPhaseToAllRequestsAtLastTaskEnd() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.users().cancelJobsAtLastTaskEnd(1);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = JobRequests.id(500 + i);
            int tasks = i % 3;
            simulation.schedule(
                    simulation.now() + 700L * i,
                    () -> simulation.users().submitUntilAccepted(JobRequests.array(id, "blue", 1 + tasks, 2, 4)));
            jobs.add(id);
        }
        for (int step = 0; step < 1_500; step++) {
            simulation.runUntil(simulation.now() + 20);
            String id = jobs.get(step % jobs.size());
            if (simulation.users().submittedSpec(id).isPresent()) {
                simulation.users().queryJob(step % 3, id, reply -> {});
                if (step % 7 == 0) {
                    simulation
                            .users()
                            .submitOnce(
                                    (step + 1) % 3,
                                    simulation.users().submittedSpec(id).orElseThrow(),
                                    reply -> {});
                }
            }
        }
        simulation.runChecked(60_000);
        assertHealthy(simulation);
        assertTrue(
                jobs.stream()
                        .allMatch(
                                id -> simulation.invariants().terminalState(id).isPresent()),
                "the terminal state of every job is reported to users");
        assertTrue(
                jobs.stream().anyMatch(id -> simulation.invariants().hasEndedIn("withdrawn", id)),
                "some jobs are cancelled before their last task ends");
        assertTrue(jobs.stream().anyMatch(id -> simulation.invariants().hasEndedIn("done", id)), "some jobs complete");
    }

    @Test
    void endsJobsWhenCommandsAndResponsesAreDelayed() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().delayCommandShare(0.5);
        List<String> jobs = submitArrays(simulation, 8, 4, 8, "red");
        simulation.runChecked(12_000);
        simulation.cancelRunningJobsWhileMachinesHang(3, 3_000);
        simulation.runChecked(8_000);
        simulation.crash(simulation.leader(), 5_000);
        simulation.runChecked(30_000);
        simulation.network().delayCommandShare(0);
        simulation.runChecked(90_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Stops and starts must take effect in the right order although every message is slow.
    @Test
    void completesJobsOfAllPrioritiesOverSlowLinksWithTooFewMachines() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().delayLinksUpTo(600);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = JobRequests.id(500 + i);
            int priority = i % 3;
            ObjectNode spec = JobRequests.array(id, i % 2 == 0 ? "blue" : "red", 12, 4, 12);
            simulation.schedule(simulation.now() + 900L * i, () -> simulation
                    .users()
                    .submitUntilAccepted(spec.put(
                            "urgency", List.of("low", "standard", "urgent").get(priority))));
            jobs.add(id);
        }
        simulation.runChecked(300_000);
        for (int second = 0; second < 100; second++) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertHealthy(simulation);
        assertAllCompleted(simulation, jobs);
    }

    // Jobs are accepted, started, stopped and ended in each term. No task may be placed twice or never.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endsJobsDespiteTenLeaderChangesInTwoMinutes(boolean outage) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = new ArrayList<>();
        for (int change = 0; change < 10; change++) {
            String id = JobRequests.id(600 + change);
            simulation
                    .users()
                    .submitUntilAccepted(
                            JobRequests.array(id, "red", 5, 4, 6),
                            change % 4 == 3 ? OptionalLong.of(simulation.now() + 9_000) : OptionalLong.empty());
            jobs.add(id);
            simulation.runChecked(6_000);
            if (outage && change == 4) {
                simulation.store().setOutage(true);
            } else if (outage && change == 7) {
                simulation.store().setOutage(false);
            }
            int leader = simulation.leaderOrFirst();
            simulation.crash(leader);
            simulation.runChecked(change % 2 == 0 ? 300 : 6_000);
            simulation.start(leader);
        }
        simulation.runChecked(100_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Inside the partition a controller answers heartbeats for its grace period. Outside, the resources of the tasks
    // stay reserved.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endsJobsWhenZoneIsPartitionedLongerThanLease(boolean leads) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 5, 4, 20, "red");
        simulation.runChecked(10_000);
        int insideController = leads ? simulation.leader() : (simulation.leader() + 1) % 3;
        List<String> zone = firstHalf(simulation.agents().machineIds());
        List<String> outsideHosts = new ArrayList<>(simulation.agents().machineIds());
        outsideHosts.removeAll(zone);
        outsideHosts.addAll(List.of(
                Hosts.controller((insideController + 1) % 3),
                Hosts.controller((insideController + 2) % 3),
                Hosts.STORE,
                Hosts.CLOUD));
        outsideHosts.forEach(host -> {
            simulation.network().partition(Hosts.controller(insideController), host);
            zone.forEach(machine -> simulation.network().partition(machine, host));
        });
        simulation.runChecked(3_000);
        simulation.users().cancelRunningJobs(3);
        simulation.runChecked(3 * AGENT_LEASE_MS);
        outsideHosts.forEach(host -> {
            simulation.network().heal(Hosts.controller(insideController), host);
            zone.forEach(machine -> simulation.network().heal(machine, host));
        });
        simulation.runChecked(120_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void completesLongTasksWhenLeaderCrashesDuringPartition(boolean inboundOnly) {
        for (long partitionMs : List.of(6_000L, 14_000L, 40_000L)) {
            ClusterSimulation simulation = clusterWithServices();
            List<String> jobs = submitArrays(simulation, 4, 4, 45, "red");
            simulation.runChecked(12_000);
            List<String> affected = firstHalf(simulation.agents().machineIds());
            int leader = simulation.leader();
            affected.forEach(machine -> {
                if (inboundOnly) {
                    simulation.network().setInboundBlocked(machine, true);
                } else {
                    simulation.network().partition(machine, Hosts.ALL);
                }
            });
            simulation.runChecked(500);
            simulation.crash(leader, 5_000);
            simulation.runChecked(partitionMs);
            affected.forEach(machine -> {
                if (inboundOnly) {
                    simulation.network().setInboundBlocked(machine, false);
                } else {
                    simulation.network().heal(machine, Hosts.ALL);
                }
            });
            simulation.runChecked(150_000);
            assertHealthy(simulation);
            assertAllCompleted(simulation, jobs);
        }
    }

    // Tasks of a cancelled job keep running on machines that receive no commands. They must count towards the quota
    // although the job has ended.
    @ParameterizedTest
    @ValueSource(longs = {-300L, 200L, 1_500L, 6_000L})
    void enforcesQuotaDespiteLeaderCrashPartitionedMachinesAndCancellations(long cancelAfterMs) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 6, 5, 25, "green");
        simulation.runChecked(20_000);
        List<String> partitioned = firstHalf(simulation.agents().machineIds());
        partitioned.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
        int leader = simulation.leader();
        long crashAt = simulation.now() + 500;
        simulation.schedule(crashAt + cancelAfterMs, () -> simulation.users().cancelRunningJobs(3));
        simulation.schedule(crashAt, () -> simulation.crash(leader, 5_000));
        simulation.runChecked(12_000);
        partitioned.forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        simulation.runChecked(250_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    @Test
    void keepsTasksRunningWhenAllControllersCrashAndOneRestartsWithinOneSecond() {
        for (int first = 0; first < 3; first++) {
            for (long downMs : List.of(50L, 400L, 900L)) {
                ClusterSimulation simulation = clusterWithServices();
                int firstRestarted = first;
                simulation.runChecked(1_000);
                for (int i = 0; i < 3; i++) {
                    simulation.crash(simulation.leaderOrFirst(), downMs);
                    simulation.runChecked(2_000);
                }
                IntStream.range(0, 3).forEach(simulation::crash);
                simulation.schedule(simulation.now() + downMs, () -> simulation.start(firstRestarted));
                simulation.runChecked(10_000);
                IntStream.range(0, 3)
                        .filter(controller -> controller != firstRestarted)
                        .forEach(simulation::start);
                simulation.runChecked(60_000);
                assertHealthy(simulation);
                assertEquals(REPLICAS, simulation.invariants().startCount(), "no replica is restarted");
            }
        }
    }

    // A resumed controller must not answer requests from state that it read before the pause, and must not depose the
    // leader.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void resumedControllerReturnsNoStaleStateAndDeposesNoLeader(boolean leads) {
        for (long pauseMs : List.of(3_000L, 9_000L, 20_000L, 70_000L)) {
            ClusterSimulation simulation = clusterWithServices();
            List<String> jobs = submitArrays(simulation, 4, 4, 12, "red");
            simulation.runChecked(5_000);
            int controller = leads ? simulation.leader() : (simulation.leader() + 1) % 3;
            simulation.pauseController(controller, pauseMs);
            simulation.schedule(
                    simulation.now() + pauseMs / 2, () -> simulation.cancelRunningJobsWhileMachinesHang(3, 2_000));
            simulation.runChecked(pauseMs);
            int leader = simulation.leader();
            simulation.runChecked(15_000);
            assertTrue(leads || simulation.leader() == leader, "a resumed follower does not depose the leader");
            simulation.runChecked(75_000);
            assertHealthy(simulation);
            assertAllEnded(simulation, jobs);
        }
    }
}
