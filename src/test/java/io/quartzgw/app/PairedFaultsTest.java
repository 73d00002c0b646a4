package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Two troubles at once, as operators have met them; docs/design.md lists them all. */
class PairedFaultsTest {
    static final long LEASE_MS = 16_000;

    static void assertAllWell(ClusterSimulation world) {
        assertEquals(List.of(), world.invariants.broken());
        assertEquals(List.of(), world.invariants.missingReplicas());
        assertEquals(0, world.failures());
    }

    static List<String> arrays(ClusterSimulation world, int jobs, int tasks, double runS, String crew) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            String id = String.format("j-%06d", 300 + i);
            ids.add(id);
            world.job(FailureTest.job(id, crew, "array", tasks, 4, runS), null);
        }
        return ids;
    }

    static void assertAllEnded(ClusterSimulation world, List<String> jobs) {
        assertEquals(
                List.of(),
                jobs.stream()
                        .filter(id -> world.invariants.finalPhase(id) == null)
                        .toList());
    }

    static void assertDone(ClusterSimulation world, List<String> jobs) {
        assertEquals(
                List.of(),
                jobs.stream()
                        .filter(id -> !"done".equals(world.invariants.finalPhase(id)))
                        .toList());
    }

    static List<String> firstHalf(List<String> machines) {
        return machines.subList(0, (machines.size() + 1) / 2);
    }

    @Test
    void allControllersAreAwayForLongerThanALease() {
        ClusterSimulation world = ScenarioTest.withServices();
        List<String> jobs = arrays(world, 4, 5, 25, "red");
        world.run(10_000);
        IntStream.range(0, 3).forEach(world::crash);
        world.run(LEASE_MS + 9_000);
        IntStream.range(0, 3).forEach(world::start);
        world.run(30_000);
        assertAllWell(world);
        world.run(90_000);
        assertDone(world, jobs);
    }

    // Guards ends that are in nobody's record yet: a worker tells of them until they are, whoever leads.
    @Test
    void tasksOfOneJobEndFarApartAcrossAChangeOfLeader() {
        for (long crashAt = 4_000; crashAt <= 40_000; crashAt += 2_000) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                ObjectNode spec = FailureTest.job("j-00040" + i, "blue", "array", 2 + i % 2, 4, 3);
                world.job(spec.put("each_longer_s", 10 + 2 * i), null);
                jobs.add("j-00040" + i);
            }
            world.run(crashAt);
            world.crash(world.leader(), 5_000);
            world.run(75_000);
            assertAllWell(world);
            assertDone(world, jobs);
        }
    }

    @Test
    void jobsBoundToAZoneLoseMachines() {
        ClusterSimulation world = ScenarioTest.withServices();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ObjectNode spec = FailureTest.job("j-00040" + i, "blue", "array", 4 + i, 4, 15);
            world.job(i % 2 == 0 ? spec.put("yard", i % 4 == 0 ? "a" : "b") : spec.put("together", true), null);
            jobs.add("j-00040" + i);
        }
        world.job(FailureTest.job("j-000410", "blue", "daemon", 3, 2, 0).put("yard", "a"), null);
        world.run(14_000);
        List<String> lost = world.machines();
        for (int i = 0; i < lost.size(); i += 2) {
            String machine = lost.get(i);
            if (i % 4 == 0) {
                world.cloud.fail(machine, world.now());
            } else {
                world.cut(machine, "*");
                world.at(world.now() + 2 * LEASE_MS, () -> world.heal(machine, "*"));
            }
            if (i == 4) {
                world.crash(world.leader());
            }
        }
        world.run(10_000);
        IntStream.range(0, 3).filter(node -> !world.isUp(node)).forEach(world::start);
        world.run(120_000);
        assertAllWell(world);
        assertDone(world, jobs);
    }

    // Guards leases that end while every order is answered: what was on such a machine runs elsewhere, once.
    @Test
    void workersThatReachNoControllerStillTakeOrders() {
        for (boolean leaderEnds : List.of(false, true)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = arrays(world, 5, 4, 30, "red");
            world.run(8_000);
            List<String> mute = firstHalf(world.machines());
            mute.forEach(machine -> world.mute(machine, true));
            world.cancelNow(2, 0);
            if (leaderEnds) {
                world.run(1_000);
                world.crash(world.leader(), 5_000);
            }
            world.run(3 * LEASE_MS);
            assertEquals(List.of(), world.invariants.missingReplicas(), "replicas run where reports arrive");
            mute.forEach(machine -> world.mute(machine, false));
            world.run(90_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    @Test
    void transactionsAreCarriedOutLateAfterNewerOnes() {
        ClusterSimulation world = ScenarioTest.withServices();
        world.lateTransactions(0.3);
        List<String> jobs = arrays(world, 8, 5, 6, "red");
        world.run(8_000);
        world.crash(world.leader(), 700);
        world.run(10_000);
        world.cancelNow(2, 0);
        world.run(20_000);
        world.lateTransactions(0);
        world.run(100_000);
        assertAllWell(world);
        assertAllEnded(world, jobs);
    }

    // Guards the first end: whatever meets the last task's end is told the same by every controller from then on.
    @Test
    void cancellationsQuestionsAndRepeatsMeetTheEndOfTheLastTask() {
        ClusterSimulation world = ScenarioTest.withServices();
        world.cancelAtEnd(1);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = String.format("j-%06d", 500 + i);
            int tasks = i % 3;
            world.at(
                    world.now() + 700L * i,
                    () -> world.job(FailureTest.job(id, "blue", "array", 1 + tasks, 2, 4), null));
            jobs.add(id);
        }
        for (int step = 0; step < 1_500; step++) {
            world.runUntil(world.now() + 20);
            String id = jobs.get(step % jobs.size());
            if (world.submitted(id) != null) {
                world.poll(step % 3, id, reply -> {});
                if (step % 7 == 0) {
                    world.submit((step + 1) % 3, world.submitted(id), reply -> {});
                }
            }
        }
        world.run(60_000);
        assertAllWell(world);
        assertTrue(jobs.stream().allMatch(id -> world.invariants.finalPhase(id) != null), "every end is told");
        assertTrue(
                jobs.stream().anyMatch(id -> "withdrawn".equals(world.invariants.finalPhase(id))),
                "some were called off in time");
        assertTrue(jobs.stream().anyMatch(id -> "done".equals(world.invariants.finalPhase(id))), "some were not");
    }

    @Test
    void ordersAndTheirAnswersAreHeldUpAndTheMachinesGoOn() {
        ClusterSimulation world = ScenarioTest.withServices();
        world.heldOrders(0.5);
        List<String> jobs = arrays(world, 8, 4, 8, "red");
        world.run(12_000);
        world.cancelNow(3, 3_000);
        world.run(8_000);
        world.crash(world.leader(), 5_000);
        world.run(30_000);
        world.heldOrders(0);
        world.run(90_000);
        assertAllWell(world);
        assertAllEnded(world, jobs);
    }

    // Guards the order of stops and starts where every message takes long.
    @Test
    void thereIsMoreWorkThanRoomUrgentAndNotOverSlowLinks() {
        ClusterSimulation world = ScenarioTest.withServices();
        world.slowLinks(600);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = String.format("j-%06d", 500 + i);
            int level = i % 3;
            ObjectNode spec = FailureTest.job(id, i % 2 == 0 ? "blue" : "red", "array", 12, 4, 12);
            world.at(
                    world.now() + 900L * i,
                    () -> world.job(
                            spec.put(
                                    "urgency",
                                    List.of("low", "standard", "urgent").get(level)),
                            null));
            jobs.add(id);
        }
        world.run(300_000);
        for (int second = 0; second < 100; second++) {
            world.run(1_000);
            world.sweepWaiting();
        }
        assertAllWell(world);
        assertDone(world, jobs);
    }

    // Guards work that is placed twice or never: in each term something is accepted, started, stopped and ended.
    @Test
    void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage() {
        for (boolean outage : List.of(false, true)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = new ArrayList<>();
            for (int change = 0; change < 10; change++) {
                String id = "j-00060" + change;
                world.job(FailureTest.job(id, "red", "array", 5, 4, 6), change % 4 == 3 ? world.now() + 9_000 : null);
                jobs.add(id);
                world.run(6_000);
                if (outage && change == 4) {
                    world.store.outage(true);
                } else if (outage && change == 7) {
                    world.store.outage(false);
                }
                int leader = Math.max(0, world.leader());
                world.crash(leader);
                world.run(change % 2 == 0 ? 300 : 6_000);
                world.start(leader);
            }
            world.run(100_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    // Guards the other side of a cut: there a controller answers the workers for its grace, here their room is held.
    @Test
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease() {
        for (boolean leads : List.of(true, false)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = arrays(world, 5, 4, 20, "red");
            world.run(10_000);
            int inside = leads ? world.leader() : (world.leader() + 1) % 3;
            List<String> zone = firstHalf(world.machines());
            List<String> outside = new ArrayList<>(world.machines());
            outside.removeAll(zone);
            outside.addAll(List.of(
                    "rig-" + (inside + 1) % 3,
                    "rig-" + (inside + 2) % 3,
                    ClusterSimulation.STORE,
                    ClusterSimulation.CLOUD));
            outside.forEach(far -> {
                world.cut("rig-" + inside, far);
                zone.forEach(machine -> world.cut(machine, far));
            });
            world.run(3_000);
            world.cancelNow(3, 0);
            world.run(3 * LEASE_MS);
            outside.forEach(far -> {
                world.heal("rig-" + inside, far);
                zone.forEach(machine -> world.heal(machine, far));
            });
            world.run(120_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    @Test
    void aLeaderEndsWhileMachinesWithLongTasksAreSilentOrDeaf() {
        for (boolean deaf : List.of(true, false)) {
            for (long goneMs : List.of(6_000L, 14_000L, 40_000L)) {
                ClusterSimulation world = ScenarioTest.withServices();
                List<String> jobs = arrays(world, 4, 4, 45, "red");
                world.run(12_000);
                List<String> some = firstHalf(world.machines());
                int leader = world.leader();
                some.forEach(machine -> {
                    if (deaf) {
                        world.deafen(machine, true);
                    } else {
                        world.cut(machine, "*");
                    }
                });
                world.run(500);
                world.crash(leader, 5_000);
                world.run(goneMs);
                some.forEach(machine -> {
                    if (deaf) {
                        world.deafen(machine, false);
                    } else {
                        world.heal(machine, "*");
                    }
                });
                world.run(150_000);
                assertAllWell(world);
                assertDone(world, jobs);
            }
        }
    }

    // Guards the quota: a job that is called off leaves the open jobs at once, and its tasks run on where nobody asks.
    @Test
    void aTeamAtItsLimitLosesItsLeaderWhileMachinesAreSilentAndAJobIsCancelled() {
        for (long cancelAfterMs : List.of(-300L, 200L, 1_500L, 6_000L)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = arrays(world, 6, 5, 25, "green");
            world.run(20_000);
            List<String> silent = firstHalf(world.machines());
            silent.forEach(machine -> world.cut(machine, "*"));
            int leader = world.leader();
            long crashAt = world.now() + 500;
            world.at(crashAt + cancelAfterMs, () -> world.cancelNow(3, 0));
            world.at(crashAt, () -> world.crash(leader, 5_000));
            world.run(12_000);
            silent.forEach(machine -> world.heal(machine, "*"));
            world.run(250_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    @Test
    void controllersHandOverAndBackThenAllEndAndOneReturnsWithinASecond() {
        for (int returns = 0; returns < 3; returns++) {
            for (long downMs : List.of(50L, 400L, 900L)) {
                ClusterSimulation world = ScenarioTest.withServices();
                int back = returns;
                world.run(1_000);
                for (int i = 0; i < 3; i++) {
                    world.crash(Math.max(0, world.leader()), downMs);
                    world.run(2_000);
                }
                IntStream.range(0, 3).forEach(world::crash);
                world.at(world.now() + downMs, () -> world.start(back));
                world.run(10_000);
                IntStream.range(0, 3).filter(node -> node != back).forEach(world::start);
                world.run(60_000);
                assertAllWell(world);
                assertEquals(2 * ScenarioTest.SERVICES, world.invariants.started(), "nothing was started anew");
            }
        }
    }

    // Guards what a controller read before it stood still: on waking it answers nobody by it, and deposes nobody.
    @Test
    void aControllerStandsStillWhileJobsAreCancelledAndGoesOn() {
        for (boolean leads : List.of(true, false)) {
            for (long stillMs : List.of(3_000L, 9_000L, 20_000L, 70_000L)) {
                ClusterSimulation world = ScenarioTest.withServices();
                List<String> jobs = arrays(world, 4, 4, 12, "red");
                world.run(5_000);
                int node = leads ? world.leader() : (world.leader() + 1) % 3;
                world.freeze(node, stillMs);
                world.at(world.now() + stillMs / 2, () -> world.cancelNow(3, 2_000));
                world.run(stillMs);
                int leader = world.leader();
                world.run(15_000);
                assertTrue(leads || world.leader() == leader, "who wakes deposes nobody");
                world.run(75_000);
                assertAllWell(world);
                assertAllEnded(world, jobs);
            }
        }
    }
}
