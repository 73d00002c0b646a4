package io.quartzgw.app;

import static io.quartzgw.app.PairedFaultsTest.LEASE_MS;
import static io.quartzgw.app.PairedFaultsTest.arrays;
import static io.quartzgw.app.PairedFaultsTest.assertAllEnded;
import static io.quartzgw.app.PairedFaultsTest.assertAllWell;
import static io.quartzgw.app.PairedFaultsTest.assertDone;
import static io.quartzgw.app.PairedFaultsTest.firstHalf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Faults that fall together with a change of leader or with many requests at once. */
class ConcurrentFaultsTest {
    // Guards against a leader that falls behind: every job costs an acceptance, a start, an end and questions.
    @Test
    void oneTaskJobsFourASecondWithAQuarterCancelled() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 240; i++) {
            String id = String.format("j-%06d", 1_000 + i);
            boolean cancelled = i % 4 == 0;
            simulation.schedule(simulation.now() + 250L * i, () -> simulation
                    .users()
                    .submitUntilAccepted(
                            FailureTest.job(id, "blue", "array", 1, 1, 2),
                            cancelled ? OptionalLong.of(simulation.now() + 1_500) : OptionalLong.empty()));
            jobs.add(id);
        }
        simulation.runChecked(60_000);
        simulation.crash(simulation.leaderOrFirst(), 5_000);
        simulation.runChecked(90_000);
        assertAllWell(simulation);
        assertAllEnded(simulation, jobs);
        assertTrue(
                jobs.stream().anyMatch(id -> simulation.invariants().hasEndedIn("withdrawn", id)),
                "some are cancelled before their end");
    }

    // Guards answers that grow older: every controller is asked about one job within a few milliseconds, while its
    // submission is repeated and some users cancel.
    @Test
    void usersAskAllControllersWithinMillisecondsOfEachChange() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        List<String> jobs = arrays(simulation, 9, 2, 3, "blue");
        for (int step = 0; step < 900; step++) {
            String id = jobs.get(step % jobs.size());
            simulation.runUntil(simulation.now() + 15);
            if (simulation.users().submittedSpec(id).isEmpty()) {
                continue;
            }
            for (int node = 0; node < 3; node++) {
                simulation.users().queryJob(node, id, reply -> {});
            }
            simulation
                    .users()
                    .submitOnce(step % 3, simulation.users().submittedSpec(id).orElseThrow(), reply -> {});
            if (step % 97 == 0) {
                simulation.users().cancelJob(step % 3, id, reply -> {});
            }
        }
        simulation.runChecked(40_000);
        assertAllWell(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Guards cancellations that fall between two leaders: neither may start or go on with what is called off.
    @Test
    void jobsAreCancelledAsWorkChangesHands() {
        for (long crashAfterMs : List.of(-400L, -50L, 0L, 100L, 700L, 2_000L)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = arrays(simulation, 8, 4, 30, "red");
            simulation.runChecked(9_000);
            int leader = simulation.leader();
            simulation.schedule(simulation.now() + 500, () -> simulation.users().cancelRunningJobs(6));
            simulation.schedule(simulation.now() + 500 + crashAfterMs, () -> simulation.crash(leader, 5_000));
            simulation.runChecked(120_000);
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    // Guards what other controllers read of a transaction whose own answer got lost.
    @Test
    void answersOfTransactionsAreLostWhileOthersReadWhatTheyWrote() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        simulation.network().loseTransactionResponses(0.4);
        List<String> jobs = arrays(simulation, 10, 3, 5, "blue");
        for (int step = 0; step < 400; step++) {
            simulation.runUntil(simulation.now() + 50);
            String id = jobs.get(step % jobs.size());
            if (simulation.users().submittedSpec(id).isPresent()) {
                simulation.users().queryJob(step % 3, id, reply -> {});
                if (step % 61 == 0) {
                    simulation.users().cancelJob((step + 1) % 3, id, reply -> {});
                }
            }
        }
        simulation.crash(simulation.leaderOrFirst(), 5_000);
        simulation.runChecked(10_000);
        simulation.network().loseTransactionResponses(0);
        simulation.runChecked(80_000);
        assertAllWell(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Guards the fence of workers: an order of a leader that has ended or was deposed comes after its successor's.
    @Test
    void ordersOfAFormerLeaderArriveAfterItsSuccessors() {
        for (boolean ends : List.of(true, false)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = arrays(simulation, 8, 4, 15, "red");
            simulation.network().delayCommandShare(0.9);
            simulation.runChecked(3_000);
            int leader = simulation.leader();
            if (ends) {
                simulation.crash(leader, 5_000);
            } else {
                simulation.pauseController(leader, 12_000);
            }
            simulation.runChecked(6_000);
            simulation.network().delayCommandShare(0);
            simulation.users().cancelRunningJobs(3);
            simulation.runChecked(120_000);
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    // Guards all limits at once: what is called off on machines that can't be asked counts until it is surely gone.
    @Test
    void everyTeamIsAtItsLimitWhileJobsAreCancelledOnMachinesThatAreCutOffOrHang() {
        for (long hangMs : List.of(0L, 10_000L)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            List<String> jobs = new ArrayList<>(arrays(simulation, 4, 6, 25, "green"));
            for (int i = 0; i < 4; i++) {
                String id = "j-00050" + i;
                simulation.users().submitUntilAccepted(FailureTest.job(id, "red", "array", 6, 4, 25));
                jobs.add(id);
            }
            simulation.runChecked(20_000);
            List<String> cutOff = firstHalf(simulation.agents().machineIds());
            cutOff.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
            simulation.cancelRunningJobsWhileMachinesHang(5, hangMs);
            simulation.runChecked(400);
            simulation.crash(simulation.leaderOrFirst(), 5_000);
            simulation.runChecked(LEASE_MS - 3_000);
            cutOff.forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
            simulation.runChecked(250_000);
            assertAllWell(simulation);
            assertAllEnded(simulation, jobs);
        }
    }

    // Guards a new leader against word from before its term, which comes to every controller just as it begins.
    @Test
    void copiesOfOldReportsReachEveryControllerAtATakeover() {
        ClusterSimulation simulation = ScenarioTest.withServices();
        List<String> jobs = arrays(simulation, 6, 4, 12, "red");
        simulation.network().duplicateMessageShare(0.8);
        simulation.runChecked(15_000);
        for (int change = 0; change < 3; change++) {
            simulation.crash(simulation.leaderOrFirst(), 5_000);
            simulation.runChecked(9_000);
        }
        simulation.network().duplicateMessageShare(0);
        simulation.runChecked(120_000);
        assertAllWell(simulation);
        assertDone(simulation, jobs);
    }

    // Guards machines that get work at once: their mark and the starts are written before, also where writes lag and
    // the leader ends in between.
    @Test
    void newMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds() {
        for (long crashAfterMs : List.of(500L, 1_500L, 3_000L)) {
            ClusterSimulation simulation = ScenarioTest.withServices();
            simulation.network().delayStoreUpTo(900);
            simulation.cloud().setBootMs(1_000);
            List<String> jobs = arrays(simulation, 8, 5, 10, "red");
            simulation.runChecked(crashAfterMs);
            simulation.crash(simulation.leaderOrFirst(), 700);
            simulation.runChecked(20_000);
            simulation.network().delayStoreUpTo(0);
            simulation.runChecked(100_000);
            assertAllWell(simulation);
            assertDone(simulation, jobs);
        }
    }
}
