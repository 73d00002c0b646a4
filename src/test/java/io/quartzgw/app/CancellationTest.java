package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Reply;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/**
 * Jobs that are cancelled while their leader is in trouble. The tasks are gone within the cancel limit, whichever
 * controller told the user, in whichever answer, and whatever becomes of the controllers next.
 */
class CancellationTest {
    private static final String JOB = "j-000001";
    private static final long OUTAGE_MS = 60_000;

    private final List<Reply> told = new ArrayList<>();

    private void assertTold() {
        assertTrue(
                told.stream()
                        .anyMatch(reply -> reply.ok()
                                && reply.json().path("phase").asText().equals("withdrawn")),
                "a user was told");
    }

    private static void assertGone(ClusterSimulation world) {
        assertGone(world, JOB);
    }

    private static void assertGone(ClusterSimulation world, String job) {
        assertEquals(List.of(), world.invariants.broken());
        assertTrue(world.invariants.runningTasks().stream().noneMatch(task -> task.startsWith(job + "/")));
        assertEquals(0, world.failures());
    }

    private static int other(int node, int by) {
        return (node + by) % 3;
    }

    /** The state service refuses the leader alone, then something is done to the job, then it is out for all. */
    private ClusterSimulation gap(long refusedMs, BiConsumer<ClusterSimulation, Integer> cancelling) {
        ClusterSimulation world = ScenarioTest.withServices();
        int leader = world.leader();
        world.refuse(leader, true);
        world.run(200);
        cancelling.accept(world, leader);
        world.run(refusedMs - 200);
        world.store.outage(true);
        assertEquals(leader, world.leader(), "workers report to the old leader");
        return world;
    }

    private void afterOutage(ClusterSimulation world, int leader) {
        world.run(OUTAGE_MS);
        assertTold();
        assertGone(world);
        world.refuse(leader, false);
        world.store.outage(false);
        world.run(40_000);
        assertGone(world);
        assertEquals(List.of(), world.invariants.missingReplicas(), "what was not cancelled runs");
    }

    @Test
    void anotherControllerTellsTheUserAndThenNobodyReachesTheStateService() {
        ClusterSimulation world = gap(2_000, (w, leader) -> w.abort(other(leader, 1), JOB, told::add));
        afterOutage(world, world.leader());
    }

    // Times around the lease, the grace and the cancel limit, machines that hang or hear nothing meanwhile, messages
    // between controllers that come late, and both operators' figures: there cancel limit less lease is 20 and 30 s.
    @Test
    void neighboursOfTheGap() {
        List<AgentTiming> figures =
                List.of(new AgentTiming(2_500, 16_000, 36_000), new AgentTiming(2_500, 18_000, 48_000));
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 40; i++) {
            told.clear();
            ClusterSimulation world =
                    ScenarioTest.withServices(new ClusterSimulation(i, 3, 12, 50, figures.get(i % 2)));
            world.lateCopies(i % 3 == 0 ? 0.2 : 0);
            int leader = world.leader();
            List<String> some = world.machines().subList(0, 2);
            world.refuse(leader, true);
            long outageAt = world.now() + random.nextInt(5_000);
            long outageEnds = outageAt + 10_000 + random.nextInt(60_000);
            world.at(outageAt, () -> world.store.outage(true));
            world.at(outageEnds, () -> world.store.outage(false));
            world.at(outageEnds + random.nextInt(4_000), () -> world.refuse(leader, false));
            for (int job = 0; job < 4; job++) {
                String id = "j-00000" + job;
                int node = other(leader, 1 + job % 2);
                world.at(world.now() + random.nextInt(5_000), () -> world.abort(node, id, told::add));
            }
            long trouble = world.now() + random.nextInt(6_000);
            long lasts = 1_000 + random.nextInt(15_000);
            switch (i % 5) {
                case 0 ->
                    some.forEach(machine -> {
                        world.at(trouble, () -> world.hang(machine, true));
                        world.at(trouble + lasts, () -> world.hang(machine, false));
                    });
                case 1 ->
                    some.forEach(machine -> {
                        world.at(trouble, () -> world.deafen(machine, true));
                        world.at(trouble + lasts, () -> world.deafen(machine, false));
                    });
                case 2 -> {
                    world.at(trouble, () -> world.cut("rig-" + leader, "rig-" + other(leader, 1)));
                    world.at(trouble + lasts, () -> world.heal("rig-" + leader, "rig-" + other(leader, 1)));
                }
                case 3 -> {
                    world.at(trouble, () -> world.crash(other(leader, 1)));
                    world.at(trouble + lasts, () -> world.start(other(leader, 1)));
                }
                default -> world.heldOrders(0.5);
            }
            world.run(150_000);
            assertEquals(List.of(), world.invariants.broken(), "world " + i);
            assertEquals(List.of(), world.invariants.missingReplicas(), "world " + i);
            assertEquals(0, world.failures());
        }
    }

    // Guards answers that come after they were given up: to the abort, to the leader's renewals, to its follow.
    @Test
    void theStateServiceAnswersSlowlyThenRefusesTheLeaderThenEverybody() {
        for (long mostMs : List.of(1_000L, 2_500L, 5_000L)) {
            told.clear();
            ClusterSimulation world = ScenarioTest.withServices();
            world.slowStore(mostMs);
            for (int second = 0; second < 12; second++) {
                for (int node = 0; node < 3; node++) {
                    world.poll(node, "j-00000" + second % 3, reply -> {});
                    if (second % 4 == 0) {
                        world.abort(node, "j-00000" + second % 3, told::add);
                    }
                }
                world.run(1_000);
            }
            int leader = Math.max(0, world.leader());
            world.refuse(leader, true);
            world.abort(other(leader, 1), "j-000002", told::add);
            world.run(2_000);
            world.store.outage(true);
            world.run(OUTAGE_MS);
            world.slowStore(0);
            world.refuse(leader, false);
            world.store.outage(false);
            world.run(40_000);
            assertTold();
            assertEquals(List.of(), world.invariants.broken());
            assertEquals(List.of(), world.invariants.missingReplicas());
            assertEquals(0, world.failures());
        }
    }

    // Guards the first word: the transaction was carried out, its answer got lost, and the user hears of the end from
    // another controller, in the answer to a repeated abort, to a poll, or to a repeated submission.
    @Test
    void theAnswerToTheAbortIsLostAndAnotherAnswerTellsTheUser() {
        List<BiConsumer<ClusterSimulation, Integer>> again = List.of(
                (w, node) -> w.abort(node, JOB, told::add),
                (w, node) -> w.poll(node, JOB, told::add),
                (w, node) -> w.submit(node, w.submitted(JOB), told::add));
        for (BiConsumer<ClusterSimulation, Integer> ask : again) {
            for (int by = 1; by <= 2; by++) {
                int teller = by;
                told.clear();
                ClusterSimulation world = gap(1_500, (w, leader) -> {
                    w.lostAnswers(1);
                    w.abort(other(leader, 1), JOB, reply -> {});
                    w.run(300);
                    w.lostAnswers(0);
                    ask.accept(w, other(leader, teller));
                });
                afterOutage(world, world.leader());
            }
        }
    }

    // Guards what a process told between its last answer and its end, also where a second restart follows.
    @Test
    void theControllerThatToldTheUserIsRestartedOnceOrTwice() {
        for (int restarts = 1; restarts <= 2; restarts++) {
            told.clear();
            ClusterSimulation world = gap(2_000, (w, leader) -> {
                // Nothing that the teller says reaches the others before it ends.
                w.cut("rig-" + other(leader, 1), "rig-" + leader);
                w.cut("rig-" + other(leader, 1), "rig-" + other(leader, 2));
                w.abort(other(leader, 1), JOB, told::add);
                w.run(300);
                w.crash(other(leader, 1));
                w.drop("rig-" + other(leader, 1), "rig-" + leader);
                w.drop("rig-" + other(leader, 1), "rig-" + other(leader, 2));
            });
            int leader = world.leader();
            for (int i = 0; i < restarts; i++) {
                world.crash(other(leader, 1));
                world.run(200);
                world.start(other(leader, 1));
                world.run(2_500);
            }
            afterOutage(world, leader);
        }
    }

    // Guards the memory of the others: the leader can't hear the teller for longer than the grace, and hears it again
    // just before its workers' leases would end.
    @Test
    void theLeaderHearsTheTellerAgainOnlyAfterItsGrace() {
        for (long silentMs = 28_000; silentMs <= 30_400; silentMs += 200) {
            told.clear();
            long cutMs = silentMs;
            ClusterSimulation world = gap(2_000, (w, leader) -> {
                w.cut("rig-" + other(leader, 1), "rig-" + leader);
                w.cut("rig-" + other(leader, 1), "rig-" + other(leader, 2));
                w.abort(other(leader, 1), JOB, told::add);
                w.at(w.now() + cutMs, () -> {
                    w.drop("rig-" + other(leader, 1), "rig-" + leader);
                    w.drop("rig-" + other(leader, 1), "rig-" + other(leader, 2));
                });
            });
            afterOutage(world, world.leader());
        }
    }

    // Guards a new leader that can't read: it renews leases without knowing what is open.
    @Test
    void aNewLeaderIsElectedAndTheOutageKeepsItFromReading() {
        for (long seed = 5; seed < 13; seed++) {
            told.clear();
            ClusterSimulation world = ScenarioTest.withServices(seed);
            int former = world.leader();
            world.cut("rig-" + former, "rig-" + other(former, 1));
            if (seed % 2 == 0) {
                // Nobody tells the former leader, which would stop the tasks: it is heard again once it is deposed.
                world.cut("rig-" + former, "rig-" + other(former, 2));
            }
            world.refuse(former, true);
            world.run(200);
            world.abort(other(former, 1), JOB, told::add);
            world.runUntil(world.now() + 1_000);
            while (world.leader() == former || world.leader() < 0) {
                world.runUntil(world.now() + 1);
            }
            world.store.outage(true);
            world.drop("rig-" + former, "rig-" + other(former, 1));
            world.drop("rig-" + former, "rig-" + other(former, 2));
            afterOutage(world, former);
        }
    }

    // Guards chains of leaders none of which reads: each renews leases with its first answers.
    @Test
    void leadersFollowEachOtherWithoutReadingAnything() {
        ClusterSimulation world = ScenarioTest.withServices();
        int first = world.leader();
        world.crash(first);
        world.abort(other(first, 1), JOB, told::add);
        world.run(500);
        world.start(first);
        for (int change = 0; change < 10; change++) {
            for (int ms = 0; world.leader() < 0 && ms < 10_000; ms++) {
                world.runUntil(world.now() + 1);
            }
            int leader = world.leader();
            assertTrue(leader >= 0, "somebody is elected");
            world.store.outage(true);
            world.run(4_500);
            world.crash(leader);
            world.store.outage(false);
            world.start(leader);
        }
        world.run(60_000);
        assertTold();
        assertGone(world);
    }

    // Guards an acceptance that is told after the end, by a notice that was held up, while no follow tells of either.
    @Test
    void anAcceptanceThatComesAfterTheCancellationStartsNothing() {
        for (long seed = 5; seed < 13; seed++) {
            told.clear();
            ClusterSimulation world = ScenarioTest.withServices(seed);
            int leader = world.leader();
            int teller = other(leader, 1);
            world.store.holdFollows(true);
            world.cut("rig-" + teller, "rig-" + leader);
            world.submit(teller, FailureTest.job("j-000070", "blue", "daemon", 2, 2, 0), reply -> {});
            world.run(400);
            world.abort(teller, "j-000070", told::add);
            world.run(300);
            int before = world.invariants.started();
            // Held back, and delivered in any order now.
            world.heal("rig-" + teller, "rig-" + leader);
            world.run(10_000);
            world.store.holdFollows(false);
            world.run(30_000);
            assertTold();
            assertEquals(before, world.invariants.started(), "nothing starts after the confirmation");
            assertGone(world, "j-000070");
        }
    }
}
