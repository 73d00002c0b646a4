package io.quartzgw.app;

import static io.quartzgw.app.PairedFaultsTest.LEASE_MS;
import static io.quartzgw.app.PairedFaultsTest.arrays;
import static io.quartzgw.app.PairedFaultsTest.assertAllEnded;
import static io.quartzgw.app.PairedFaultsTest.assertAllWell;
import static io.quartzgw.app.PairedFaultsTest.assertDone;
import static io.quartzgw.app.PairedFaultsTest.firstHalf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Faults that fall together with a change of leader or with many requests at once. */
class ConcurrentFaultsTest {
    // Guards against a leader that falls behind: every job costs an acceptance, a start, an end and questions.
    @Test
    void oneTaskJobsFourASecondWithAQuarterCancelled() {
        ClusterSimulation world = ScenarioTest.withServices();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 240; i++) {
            String id = String.format("j-%06d", 1_000 + i);
            boolean cancelled = i % 4 == 0;
            world.at(
                    world.now() + 250L * i,
                    () -> world.job(
                            FailureTest.job(id, "blue", "array", 1, 1, 2), cancelled ? world.now() + 1_500 : null));
            jobs.add(id);
        }
        world.run(60_000);
        world.crash(Math.max(0, world.leader()), 5_000);
        world.run(90_000);
        assertAllWell(world);
        assertAllEnded(world, jobs);
        assertTrue(
                jobs.stream().anyMatch(id -> "withdrawn".equals(world.invariants.finalPhase(id))),
                "some are cancelled before their end");
    }

    // Guards answers that grow older: every controller is asked about one job within a few milliseconds, while its
    // submission is repeated and some users cancel.
    @Test
    void usersAskAllControllersWithinMillisecondsOfEachChange() {
        ClusterSimulation world = ScenarioTest.withServices();
        List<String> jobs = arrays(world, 9, 2, 3, "blue");
        for (int step = 0; step < 900; step++) {
            String id = jobs.get(step % jobs.size());
            world.runUntil(world.now() + 15);
            if (world.submitted(id) == null) {
                continue;
            }
            for (int node = 0; node < 3; node++) {
                world.poll(node, id, reply -> {});
            }
            world.submit(step % 3, world.submitted(id), reply -> {});
            if (step % 97 == 0) {
                world.abort(step % 3, id, reply -> {});
            }
        }
        world.run(40_000);
        assertAllWell(world);
        assertAllEnded(world, jobs);
    }

    // Guards cancellations that fall between two leaders: neither may start or go on with what is called off.
    @Test
    void jobsAreCancelledAsWorkChangesHands() {
        for (long crashAfterMs : List.of(-400L, -50L, 0L, 100L, 700L, 2_000L)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = arrays(world, 8, 4, 30, "red");
            world.run(9_000);
            int leader = world.leader();
            world.at(world.now() + 500, () -> world.cancelNow(6, 0));
            world.at(world.now() + 500 + crashAfterMs, () -> world.crash(leader, 5_000));
            world.run(120_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    // Guards what other controllers read of a transaction whose own answer got lost.
    @Test
    void answersOfTransactionsAreLostWhileOthersReadWhatTheyWrote() {
        ClusterSimulation world = ScenarioTest.withServices();
        world.lostAnswers(0.4);
        List<String> jobs = arrays(world, 10, 3, 5, "blue");
        for (int step = 0; step < 400; step++) {
            world.runUntil(world.now() + 50);
            String id = jobs.get(step % jobs.size());
            if (world.submitted(id) != null) {
                world.poll(step % 3, id, reply -> {});
                if (step % 61 == 0) {
                    world.abort((step + 1) % 3, id, reply -> {});
                }
            }
        }
        world.crash(Math.max(0, world.leader()), 5_000);
        world.run(10_000);
        world.lostAnswers(0);
        world.run(80_000);
        assertAllWell(world);
        assertAllEnded(world, jobs);
    }

    // Guards the fence of workers: an order of a leader that has ended or was deposed comes after its successor's.
    @Test
    void ordersOfAFormerLeaderArriveAfterItsSuccessors() {
        for (boolean ends : List.of(true, false)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = arrays(world, 8, 4, 15, "red");
            world.heldOrders(0.9);
            world.run(3_000);
            int leader = world.leader();
            if (ends) {
                world.crash(leader, 5_000);
            } else {
                world.freeze(leader, 12_000);
            }
            world.run(6_000);
            world.heldOrders(0);
            world.cancelNow(3, 0);
            world.run(120_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    // Guards all limits at once: what is called off on machines that can't be asked counts until it is surely gone.
    @Test
    void everyTeamIsAtItsLimitWhileJobsAreCancelledOnMachinesThatAreCutOffOrHang() {
        for (long hangMs : List.of(0L, 10_000L)) {
            ClusterSimulation world = ScenarioTest.withServices();
            List<String> jobs = new ArrayList<>(arrays(world, 4, 6, 25, "green"));
            for (int i = 0; i < 4; i++) {
                String id = "j-00050" + i;
                world.job(FailureTest.job(id, "red", "array", 6, 4, 25), null);
                jobs.add(id);
            }
            world.run(20_000);
            List<String> cutOff = firstHalf(world.machines());
            cutOff.forEach(machine -> world.cut(machine, "*"));
            world.cancelNow(5, hangMs);
            world.run(400);
            world.crash(Math.max(0, world.leader()), 5_000);
            world.run(LEASE_MS - 3_000);
            cutOff.forEach(machine -> world.heal(machine, "*"));
            world.run(250_000);
            assertAllWell(world);
            assertAllEnded(world, jobs);
        }
    }

    // Guards a new leader against word from before its term, which comes to every controller just as it begins.
    @Test
    void copiesOfOldReportsReachEveryControllerAtATakeover() {
        ClusterSimulation world = ScenarioTest.withServices();
        List<String> jobs = arrays(world, 6, 4, 12, "red");
        world.lateCopies(0.8);
        world.run(15_000);
        for (int change = 0; change < 3; change++) {
            world.crash(Math.max(0, world.leader()), 5_000);
            world.run(9_000);
        }
        world.lateCopies(0);
        world.run(120_000);
        assertAllWell(world);
        assertDone(world, jobs);
    }

    // Guards machines that get work at once: their mark and the starts are written before, also where writes lag and
    // the leader ends in between.
    @Test
    void newMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds() {
        for (long crashAfterMs : List.of(500L, 1_500L, 3_000L)) {
            ClusterSimulation world = ScenarioTest.withServices();
            world.slowStore(900);
            world.cloud.bootMs(1_000);
            List<String> jobs = arrays(world, 8, 5, 10, "red");
            world.run(crashAfterMs);
            world.crash(Math.max(0, world.leader()), 700);
            world.run(20_000);
            world.slowStore(0);
            world.run(100_000);
            assertAllWell(world);
            assertDone(world, jobs);
        }
    }
}
