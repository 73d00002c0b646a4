package io.quartzgw.app;

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

/** Two troubles at once, as operators have met them; docs/design.md lists them all. */
class PairedFaultsTest {
    static final long LEASE_MS = 16_000;

    static void assertAllWell(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(List.of(), simulation.invariants().missingReplicas());
        assertEquals(0, simulation.failedCommands());
    }

    static List<String> arrays(ClusterSimulation simulation, int jobs, int tasks, double runS, String crew) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            String id = String.format("j-%06d", 300 + i);
            ids.add(id);
            simulation.users().submitUntilAccepted(FailureTest.job(id, crew, "array", tasks, 4, runS));
        }
        return ids;
    }

    static void assertAllEnded(ClusterSimulation simulation, List<String> jobs) {
        assertEquals(
                List.of(),
                jobs.stream()
                        .filter(id -> simulation.invariants().finalPhase(id).isEmpty())
                        .toList());
    }

    static void assertDone(ClusterSimulation simulation, List<String> jobs) {
        assertEquals(
                List.of(),
                jobs.stream()
                        .filter(id -> !simulation.invariants().hasEndedIn("done", id))
                        .toList());
    }

    static List<String> firstHalf(List<String> machines) {
        return machines.subList(0, (machines.size() + 1) / 2);
    }

    @Test
    void allControllersAreAwayForLongerThanALease() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        List<String> jobs = arrays(simulation, 4, 5, 25, "red");
        simulation.runChecked(10_000);
        IntStream.range(0, 3).forEach(simulation::crash);
        simulation.runChecked(LEASE_MS + 9_000);
        IntStream.range(0, 3).forEach(simulation::start);
        simulation.runChecked(30_000);
        assertAllWell(simulation);
        simulation.runChecked(90_000);
        assertDone(simulation, jobs);
    }

    // Guards ends that are in nobody's record yet: a worker tells of them until they are, whoever leads.
    @Test
    void tasksOfOneJobEndFarApartAcrossAChangeOfLeader() {
        for (long crashAt = 4_000; crashAt <= 40_000; crashAt += 2_000) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                ObjectNode spec = FailureTest.job("j-00040" + i, "blue", "array", 2 + i % 2, 4, 3);
                simulation.users().submitUntilAccepted(spec.put("each_longer_s", 10 + 2 * i));
                jobs.add("j-00040" + i);
            }
            simulation.runChecked(crashAt);
            simulation.crash(simulation.leader(), 5_000);
            simulation.runChecked(75_000);
            assertAllWell(simulation);
            assertDone(simulation, jobs);
        }
    }

    @Test
    void jobsBoundToAZoneLoseMachines() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ObjectNode spec = FailureTest.job("j-00040" + i, "blue", "array", 4 + i, 4, 15);
            simulation
                    .users()
                    .submitUntilAccepted(
                            i % 2 == 0 ? spec.put("yard", i % 4 == 0 ? "a" : "b") : spec.put("together", true));
            jobs.add("j-00040" + i);
        }
        simulation
                .users()
                .submitUntilAccepted(
                        FailureTest.job("j-000410", "blue", "daemon", 3, 2, 0).put("yard", "a"));
        simulation.runChecked(14_000);
        List<String> lost = simulation.agents().machineIds();
        for (int i = 0; i < lost.size(); i += 2) {
            String machine = lost.get(i);
            if (i % 4 == 0) {
                simulation.cloud().fail(machine, simulation.now());
            } else {
                simulation.network().partition(machine, Hosts.ALL);
                simulation.schedule(
                        simulation.now() + 2 * LEASE_MS,
                        () -> simulation.network().heal(machine, Hosts.ALL));
            }
            if (i == 4) {
                simulation.crash(simulation.leader());
            }
        }
        simulation.runChecked(10_000);
        IntStream.range(0, 3).filter(node -> !simulation.isUp(node)).forEach(simulation::start);
        simulation.runChecked(120_000);
        assertAllWell(simulation);
        assertDone(simulation, jobs);
    }

    // Guards leases that end while every order is answered: what was on such a machine runs elsewhere, once.
    @Test
    void workersThatReachNoControllerStillTakeOrders() {
        for (boolean leaderEnds : List.of(false, true)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = arrays(simulation, 5, 4, 30, "red");
            simulation.runChecked(8_000);
            List<String> mute = firstHalf(simulation.agents().machineIds());
            mute.forEach(machine -> simulation.network().setHeartbeatsBlocked(machine, true));
            simulation.users().cancelRunningJobs(2);
            if (leaderEnds) {
                simulation.runChecked(1_000);
                simulation.crash(simulation.leader(), 5_000);
            }
            simulation.runChecked(3 * LEASE_MS);
            assertEquals(List.of(), simulation.invariants().missingReplicas(), "replicas run where reports arrive");
            mute.forEach(machine -> simulation.network().setHeartbeatsBlocked(machine, false));
            simulation.runChecked(90_000);
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    @Test
    void transactionsAreCarriedOutLateAfterNewerOnes() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        simulation.network().delayTransactionShare(0.3);
        List<String> jobs = arrays(simulation, 8, 5, 6, "red");
        simulation.runChecked(8_000);
        simulation.crash(simulation.leader(), 700);
        simulation.runChecked(10_000);
        simulation.users().cancelRunningJobs(2);
        simulation.runChecked(20_000);
        simulation.network().delayTransactionShare(0);
        simulation.runChecked(100_000);
        assertAllWell(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Guards the first end: whatever meets the last task's end is told the same by every controller from then on.
    @Test
    void cancellationsQuestionsAndRepeatsMeetTheEndOfTheLastTask() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        simulation.users().cancelJobsAtLastTaskEnd(1);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = String.format("j-%06d", 500 + i);
            int tasks = i % 3;
            simulation.schedule(simulation.now() + 700L * i, () -> simulation
                    .users()
                    .submitUntilAccepted(FailureTest.job(id, "blue", "array", 1 + tasks, 2, 4)));
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
        assertAllWell(simulation);
        assertTrue(
                jobs.stream()
                        .allMatch(id -> simulation.invariants().finalPhase(id).isPresent()),
                "every end is told");
        assertTrue(
                jobs.stream().anyMatch(id -> simulation.invariants().hasEndedIn("withdrawn", id)),
                "some were called off in time");
        assertTrue(jobs.stream().anyMatch(id -> simulation.invariants().hasEndedIn("done", id)), "some were not");
    }

    @Test
    void ordersAndTheirAnswersAreHeldUpAndTheMachinesGoOn() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        simulation.network().delayCommandShare(0.5);
        List<String> jobs = arrays(simulation, 8, 4, 8, "red");
        simulation.runChecked(12_000);
        simulation.cancelRunningJobsWhileMachinesHang(3, 3_000);
        simulation.runChecked(8_000);
        simulation.crash(simulation.leader(), 5_000);
        simulation.runChecked(30_000);
        simulation.network().delayCommandShare(0);
        simulation.runChecked(90_000);
        assertAllWell(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Guards the order of stops and starts where every message takes long.
    @Test
    void thereIsMoreWorkThanRoomUrgentAndNotOverSlowLinks() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        simulation.network().delayLinksUpTo(600);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = String.format("j-%06d", 500 + i);
            int level = i % 3;
            ObjectNode spec = FailureTest.job(id, i % 2 == 0 ? "blue" : "red", "array", 12, 4, 12);
            simulation.schedule(simulation.now() + 900L * i, () -> simulation
                    .users()
                    .submitUntilAccepted(spec.put(
                            "urgency", List.of("low", "standard", "urgent").get(level))));
            jobs.add(id);
        }
        simulation.runChecked(300_000);
        for (int second = 0; second < 100; second++) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertAllWell(simulation);
        assertDone(simulation, jobs);
    }

    // Guards work that is placed twice or never: in each term something is accepted, started, stopped and ended.
    @Test
    void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage() {
        for (boolean outage : List.of(false, true)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = new ArrayList<>();
            for (int change = 0; change < 10; change++) {
                String id = "j-00060" + change;
                simulation
                        .users()
                        .submitUntilAccepted(
                                FailureTest.job(id, "red", "array", 5, 4, 6),
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
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    // Guards the other side of a cut: there a controller answers the workers for its grace, here their room is held.
    @Test
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease() {
        for (boolean leads : List.of(true, false)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = arrays(simulation, 5, 4, 20, "red");
            simulation.runChecked(10_000);
            int inside = leads ? simulation.leader() : (simulation.leader() + 1) % 3;
            List<String> zone = firstHalf(simulation.agents().machineIds());
            List<String> outside = new ArrayList<>(simulation.agents().machineIds());
            outside.removeAll(zone);
            outside.addAll(List.of(
                    Hosts.controller((inside + 1) % 3), Hosts.controller((inside + 2) % 3), Hosts.STORE, Hosts.CLOUD));
            outside.forEach(far -> {
                simulation.network().partition(Hosts.controller(inside), far);
                zone.forEach(machine -> simulation.network().partition(machine, far));
            });
            simulation.runChecked(3_000);
            simulation.users().cancelRunningJobs(3);
            simulation.runChecked(3 * LEASE_MS);
            outside.forEach(far -> {
                simulation.network().heal(Hosts.controller(inside), far);
                zone.forEach(machine -> simulation.network().heal(machine, far));
            });
            simulation.runChecked(120_000);
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    @Test
    void aLeaderEndsWhileMachinesWithLongTasksAreSilentOrDeaf() {
        for (boolean deaf : List.of(true, false)) {
            for (long goneMs : List.of(6_000L, 14_000L, 40_000L)) {
                ClusterSimulation simulation = ScenarioTest.withServices();
                List<String> jobs = arrays(simulation, 4, 4, 45, "red");
                simulation.runChecked(12_000);
                List<String> some = firstHalf(simulation.agents().machineIds());
                int leader = simulation.leader();
                some.forEach(machine -> {
                    if (deaf) {
                        simulation.network().setInboundBlocked(machine, true);
                    } else {
                        simulation.network().partition(machine, Hosts.ALL);
                    }
                });
                simulation.runChecked(500);
                simulation.crash(leader, 5_000);
                simulation.runChecked(goneMs);
                some.forEach(machine -> {
                    if (deaf) {
                        simulation.network().setInboundBlocked(machine, false);
                    } else {
                        simulation.network().heal(machine, Hosts.ALL);
                    }
                });
                simulation.runChecked(150_000);
                assertAllWell(simulation);
                assertDone(simulation, jobs);
            }
        }
    }

    // Guards the quota: a job that is called off leaves the open jobs at once, and its tasks run on where nobody asks.
    @Test
    void aTeamAtItsLimitLosesItsLeaderWhileMachinesAreSilentAndAJobIsCancelled() {
        for (long cancelAfterMs : List.of(-300L, 200L, 1_500L, 6_000L)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = arrays(simulation, 6, 5, 25, "green");
            simulation.runChecked(20_000);
            List<String> silent = firstHalf(simulation.agents().machineIds());
            silent.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
            int leader = simulation.leader();
            long crashAt = simulation.now() + 500;
            simulation.schedule(
                    crashAt + cancelAfterMs, () -> simulation.users().cancelRunningJobs(3));
            simulation.schedule(crashAt, () -> simulation.crash(leader, 5_000));
            simulation.runChecked(12_000);
            silent.forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
            simulation.runChecked(250_000);
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    @Test
    void controllersHandOverAndBackThenAllEndAndOneReturnsWithinASecond() {
        for (int returns = 0; returns < 3; returns++) {
            for (long downMs : List.of(50L, 400L, 900L)) {
                ClusterSimulation simulation = ScenarioTest.withServices();
                int back = returns;
                simulation.runChecked(1_000);
                for (int i = 0; i < 3; i++) {
                    simulation.crash(simulation.leaderOrFirst(), downMs);
                    simulation.runChecked(2_000);
                }
                IntStream.range(0, 3).forEach(simulation::crash);
                simulation.schedule(simulation.now() + downMs, () -> simulation.start(back));
                simulation.runChecked(10_000);
                IntStream.range(0, 3).filter(node -> node != back).forEach(simulation::start);
                simulation.runChecked(60_000);
                assertAllWell(simulation);
                assertEquals(
                        2 * ScenarioTest.SERVICES, simulation.invariants().startCount(), "nothing was started anew");
            }
        }
    }

    // Guards what a controller read before it stood still: on waking it answers nobody by it, and deposes nobody.
    @Test
    void aControllerStandsStillWhileJobsAreCancelledAndGoesOn() {
        for (boolean leads : List.of(true, false)) {
            for (long stillMs : List.of(3_000L, 9_000L, 20_000L, 70_000L)) {
                ClusterSimulation simulation = ScenarioTest.withServices();
                List<String> jobs = arrays(simulation, 4, 4, 12, "red");
                simulation.runChecked(5_000);
                int node = leads ? simulation.leader() : (simulation.leader() + 1) % 3;
                simulation.pauseController(node, stillMs);
                simulation.schedule(
                        simulation.now() + stillMs / 2, () -> simulation.cancelRunningJobsWhileMachinesHang(3, 2_000));
                simulation.runChecked(stillMs);
                int leader = simulation.leader();
                simulation.runChecked(15_000);
                assertTrue(leads || simulation.leader() == leader, "who wakes deposes nobody");
                simulation.runChecked(75_000);
                assertAllWell(simulation);
                assertAllEnded(simulation, jobs);
            }
        }
    }
}
