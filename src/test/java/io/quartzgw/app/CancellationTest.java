package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Reply;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
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

    private static void assertGone(ClusterSimulation simulation) {
        assertGone(simulation, JOB);
    }

    private static void assertGone(ClusterSimulation simulation, String job) {
        assertEquals(List.of(), simulation.invariants().violations());
        assertTrue(simulation.invariants().runningTasks().stream().noneMatch(task -> task.startsWith(job + "/")));
        assertEquals(0, simulation.failedCommands());
    }

    private static int other(int node, int by) {
        return (node + by) % 3;
    }

    /** The state service refuses the leader alone, then something is done to the job, then it is out for all. */
    private ClusterSimulation gap(long refusedMs, BiConsumer<ClusterSimulation, Integer> cancelling) {
        ClusterSimulation simulation = ScenarioTest.withServices();
        int leader = simulation.leader();
        simulation.setStoreRejects(leader, true);
        simulation.runChecked(200);
        cancelling.accept(simulation, leader);
        simulation.runChecked(refusedMs - 200);
        simulation.store().setOutage(true);
        assertEquals(leader, simulation.leader(), "workers report to the old leader");
        return simulation;
    }

    private void afterOutage(ClusterSimulation simulation, int leader) {
        simulation.runChecked(OUTAGE_MS);
        assertTold();
        assertGone(simulation);
        simulation.setStoreRejects(leader, false);
        simulation.store().setOutage(false);
        simulation.runChecked(40_000);
        assertGone(simulation);
        assertEquals(List.of(), simulation.invariants().missingReplicas(), "what was not cancelled runs");
    }

    @Test
    void anotherControllerTellsTheUserAndThenNobodyReachesTheStateService() {
        ClusterSimulation simulation =
                gap(2_000, (cluster, leader) -> cluster.users().cancelJob(other(leader, 1), JOB, told::add));
        afterOutage(simulation, simulation.leader());
    }

    // Times around the lease, the grace and the cancel limit, machines that hang or hear nothing meanwhile, messages
    // between controllers that come late, and both operators' figures: there cancel limit less lease is 20 and 30 s.
    @Test
    void neighboursOfTheGap() {
        List<AgentTiming> timings =
                List.of(new AgentTiming(2_500, 16_000, 36_000), new AgentTiming(2_500, 18_000, 48_000));
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 40; i++) {
            told.clear();
            ClusterSimulation simulation = ScenarioTest.withServices(
                    ClusterSimulation.builder(i).timing(timings.get(i % 2)).build());
            simulation.network().duplicateMessageShare(i % 3 == 0 ? 0.2 : 0);
            int leader = simulation.leader();
            List<String> some = simulation.agents().machineIds().subList(0, 2);
            simulation.setStoreRejects(leader, true);
            long outageAt = simulation.now() + random.nextInt(5_000);
            long outageEnds = outageAt + 10_000 + random.nextInt(60_000);
            simulation.schedule(outageAt, () -> simulation.store().setOutage(true));
            simulation.schedule(outageEnds, () -> simulation.store().setOutage(false));
            simulation.schedule(outageEnds + random.nextInt(4_000), () -> simulation.setStoreRejects(leader, false));
            for (int job = 0; job < 4; job++) {
                String id = "j-00000" + job;
                int node = other(leader, 1 + job % 2);
                simulation.schedule(
                        simulation.now() + random.nextInt(5_000),
                        () -> simulation.users().cancelJob(node, id, told::add));
            }
            long trouble = simulation.now() + random.nextInt(6_000);
            long lasts = 1_000 + random.nextInt(15_000);
            switch (i % 5) {
                case 0 ->
                    some.forEach(machine -> {
                        simulation.schedule(trouble, () -> simulation.agents().setHanging(machine, true));
                        simulation.schedule(
                                trouble + lasts, () -> simulation.agents().setHanging(machine, false));
                    });
                case 1 ->
                    some.forEach(machine -> {
                        simulation.schedule(trouble, () -> simulation.network().setInboundBlocked(machine, true));
                        simulation.schedule(
                                trouble + lasts, () -> simulation.network().setInboundBlocked(machine, false));
                    });
                case 2 -> {
                    simulation.schedule(trouble, () -> simulation
                            .network()
                            .partition(Hosts.controller(leader), Hosts.controller(other(leader, 1))));
                    simulation.schedule(trouble + lasts, () -> simulation
                            .network()
                            .heal(Hosts.controller(leader), Hosts.controller(other(leader, 1))));
                }
                case 3 -> {
                    simulation.schedule(trouble, () -> simulation.crash(other(leader, 1)));
                    simulation.schedule(trouble + lasts, () -> simulation.start(other(leader, 1)));
                }
                default -> simulation.network().delayCommandShare(0.5);
            }
            simulation.runChecked(150_000);
            assertEquals(List.of(), simulation.invariants().violations(), "simulation " + i);
            assertEquals(List.of(), simulation.invariants().missingReplicas(), "simulation " + i);
            assertEquals(0, simulation.failedCommands());
        }
    }

    // Guards answers that come after they were given up: to the abort, to the leader's renewals, to its follow.
    @Test
    void theStateServiceAnswersSlowlyThenRefusesTheLeaderThenEverybody() {
        for (long mostMs : List.of(1_000L, 2_500L, 5_000L)) {
            told.clear();
            ClusterSimulation simulation = ScenarioTest.withServices();
            simulation.network().delayStoreUpTo(mostMs);
            for (int second = 0; second < 12; second++) {
                for (int node = 0; node < 3; node++) {
                    simulation.users().queryJob(node, "j-00000" + second % 3, reply -> {});
                    if (second % 4 == 0) {
                        simulation.users().cancelJob(node, "j-00000" + second % 3, told::add);
                    }
                }
                simulation.runChecked(1_000);
            }
            int leader = simulation.leaderOrFirst();
            simulation.setStoreRejects(leader, true);
            simulation.users().cancelJob(other(leader, 1), "j-000002", told::add);
            simulation.runChecked(2_000);
            simulation.store().setOutage(true);
            simulation.runChecked(OUTAGE_MS);
            simulation.network().delayStoreUpTo(0);
            simulation.setStoreRejects(leader, false);
            simulation.store().setOutage(false);
            simulation.runChecked(40_000);
            assertTold();
            assertEquals(List.of(), simulation.invariants().violations());
            assertEquals(List.of(), simulation.invariants().missingReplicas());
            assertEquals(0, simulation.failedCommands());
        }
    }

    // Guards the first word: the transaction was carried out, its answer got lost, and the user hears of the end from
    // another controller, in the answer to a repeated abort, to a poll, or to a repeated submission.
    @Test
    void theAnswerToTheAbortIsLostAndAnotherAnswerTellsTheUser() {
        List<BiConsumer<ClusterSimulation, Integer>> again = List.of(
                (cluster, node) -> cluster.users().cancelJob(node, JOB, told::add),
                (cluster, node) -> cluster.users().queryJob(node, JOB, told::add),
                (cluster, node) -> cluster.users()
                        .submitOnce(node, cluster.users().submittedSpec(JOB).orElseThrow(), told::add));
        for (BiConsumer<ClusterSimulation, Integer> ask : again) {
            for (int by = 1; by <= 2; by++) {
                int teller = by;
                told.clear();
                ClusterSimulation simulation = gap(1_500, (cluster, leader) -> {
                    cluster.network().loseTransactionResponses(1);
                    cluster.users().cancelJob(other(leader, 1), JOB, reply -> {});
                    cluster.runChecked(300);
                    cluster.network().loseTransactionResponses(0);
                    ask.accept(cluster, other(leader, teller));
                });
                afterOutage(simulation, simulation.leader());
            }
        }
    }

    // Guards what a process told between its last answer and its end, also where a second restart follows.
    @Test
    void theControllerThatToldTheUserIsRestartedOnceOrTwice() {
        for (int restarts = 1; restarts <= 2; restarts++) {
            told.clear();
            ClusterSimulation simulation = gap(2_000, (cluster, leader) -> {
                // Nothing that the teller says reaches the others before it ends.
                cluster.network().partition(Hosts.controller(other(leader, 1)), Hosts.controller(leader));
                cluster.network().partition(Hosts.controller(other(leader, 1)), Hosts.controller(other(leader, 2)));
                cluster.users().cancelJob(other(leader, 1), JOB, told::add);
                cluster.runChecked(300);
                cluster.crash(other(leader, 1));
                cluster.network().healDroppingPackets(Hosts.controller(other(leader, 1)), Hosts.controller(leader));
                cluster.network()
                        .healDroppingPackets(Hosts.controller(other(leader, 1)), Hosts.controller(other(leader, 2)));
            });
            int leader = simulation.leader();
            for (int i = 0; i < restarts; i++) {
                simulation.crash(other(leader, 1));
                simulation.runChecked(200);
                simulation.start(other(leader, 1));
                simulation.runChecked(2_500);
            }
            afterOutage(simulation, leader);
        }
    }

    // Guards the memory of the others: the leader can't hear the teller for longer than the grace, and hears it again
    // just before its workers' leases would end.
    @Test
    void theLeaderHearsTheTellerAgainOnlyAfterItsGrace() {
        for (long silentMs = 28_000; silentMs <= 30_400; silentMs += 200) {
            told.clear();
            long cutMs = silentMs;
            ClusterSimulation simulation = gap(2_000, (cluster, leader) -> {
                cluster.network().partition(Hosts.controller(other(leader, 1)), Hosts.controller(leader));
                cluster.network().partition(Hosts.controller(other(leader, 1)), Hosts.controller(other(leader, 2)));
                cluster.users().cancelJob(other(leader, 1), JOB, told::add);
                cluster.schedule(cluster.now() + cutMs, () -> {
                    cluster.network().healDroppingPackets(Hosts.controller(other(leader, 1)), Hosts.controller(leader));
                    cluster.network()
                            .healDroppingPackets(
                                    Hosts.controller(other(leader, 1)), Hosts.controller(other(leader, 2)));
                });
            });
            afterOutage(simulation, simulation.leader());
        }
    }

    // Guards a new leader that can't read: it renews leases without knowing what is open.
    @Test
    void aNewLeaderIsElectedAndTheOutageKeepsItFromReading() {
        for (long seed = 5; seed < 13; seed++) {
            told.clear();
            ClusterSimulation simulation = ScenarioTest.withServices(seed);
            int former = simulation.leader();
            simulation.network().partition(Hosts.controller(former), Hosts.controller(other(former, 1)));
            if (seed % 2 == 0) {
                // Nobody tells the former leader, which would stop the tasks: it is heard again once it is deposed.
                simulation.network().partition(Hosts.controller(former), Hosts.controller(other(former, 2)));
            }
            simulation.setStoreRejects(former, true);
            simulation.runChecked(200);
            simulation.users().cancelJob(other(former, 1), JOB, told::add);
            simulation.runUntil(simulation.now() + 1_000);
            while (simulation.leader() == former || !simulation.hasLeader()) {
                simulation.runUntil(simulation.now() + 1);
            }
            simulation.store().setOutage(true);
            simulation.network().healDroppingPackets(Hosts.controller(former), Hosts.controller(other(former, 1)));
            simulation.network().healDroppingPackets(Hosts.controller(former), Hosts.controller(other(former, 2)));
            afterOutage(simulation, former);
        }
    }

    // Guards chains of leaders none of which reads: each renews leases with its first answers.
    @Test
    void leadersFollowEachOtherWithoutReadingAnything() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        int first = simulation.leader();
        simulation.crash(first);
        simulation.users().cancelJob(other(first, 1), JOB, told::add);
        simulation.runChecked(500);
        simulation.start(first);
        for (int change = 0; change < 10; change++) {
            for (int ms = 0; !simulation.hasLeader() && ms < 10_000; ms++) {
                simulation.runUntil(simulation.now() + 1);
            }
            int leader = simulation.leader();
            assertTrue(leader >= 0, "somebody is elected");
            simulation.store().setOutage(true);
            simulation.runChecked(4_500);
            simulation.crash(leader);
            simulation.store().setOutage(false);
            simulation.start(leader);
        }
        simulation.runChecked(60_000);
        assertTold();
        assertGone(simulation);
    }

    // Guards an acceptance that is told after the end, by a notice that was held up, while no follow tells of either.
    @Test
    void anAcceptanceThatComesAfterTheCancellationStartsNothing() {
        for (long seed = 5; seed < 13; seed++) {
            told.clear();
            ClusterSimulation simulation = ScenarioTest.withServices(seed);
            int leader = simulation.leader();
            int teller = other(leader, 1);
            simulation.store().setWatchesPaused(true);
            simulation.network().partition(Hosts.controller(teller), Hosts.controller(leader));
            simulation.users().submitOnce(teller, FailureTest.job("j-000070", "blue", "daemon", 2, 2, 0), reply -> {});
            simulation.runChecked(400);
            simulation.users().cancelJob(teller, "j-000070", told::add);
            simulation.runChecked(300);
            int before = simulation.invariants().startCount();
            // Held back, and delivered in any order now.
            simulation.network().heal(Hosts.controller(teller), Hosts.controller(leader));
            simulation.runChecked(10_000);
            simulation.store().setWatchesPaused(false);
            simulation.runChecked(30_000);
            assertTold();
            assertEquals(before, simulation.invariants().startCount(), "nothing starts after the confirmation");
            assertGone(simulation, "j-000070");
        }
    }
}
