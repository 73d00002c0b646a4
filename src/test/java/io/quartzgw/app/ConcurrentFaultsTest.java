package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllCompleted;
import static io.quartzgw.app.ClusterAssertions.assertAllEnded;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static io.quartzgw.app.ClusterFixtures.firstHalf;
import static io.quartzgw.app.ClusterFixtures.submitArrays;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Faults that coincide with a leader change or with many requests. */
class ConcurrentFaultsTest {
    // The leader must keep up with the job rate: each job needs an acceptance, a start, an end and queries.
    @Test
    void endsFourSingleTaskJobsPerSecondDespiteLeaderCrash() {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 240; i++) {
            String id = JobRequests.id(1_000 + i);
            boolean cancelled = i % 4 == 0;
            simulation.schedule(simulation.now() + 250L * i, () -> simulation
                    .users()
                    .submitUntilAccepted(
                            JobRequests.array(id, "blue", 1, 1, 2),
                            cancelled ? OptionalLong.of(simulation.now() + 1_500) : OptionalLong.empty()));
            jobs.add(id);
        }
        simulation.runChecked(60_000);
        simulation.crash(simulation.leaderOrFirst(), 5_000);
        simulation.runChecked(90_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
        assertTrue(
                jobs.stream().anyMatch(id -> simulation.invariants().hasEndedIn("withdrawn", id)),
                "some jobs are cancelled before they complete");
    }

    // No response may be older than an earlier one. All controllers are queried about a job within milliseconds, while
    // its submission is repeated and some users cancel.
    @Test
    void queriesNeverReturnOlderStateAtAnyController() {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 9, 2, 3, "blue");
        for (int step = 0; step < 900; step++) {
            String id = jobs.get(step % jobs.size());
            simulation.runUntil(simulation.now() + 15);
            if (simulation.users().submittedSpec(id).isEmpty()) {
                continue;
            }
            for (int controller = 0; controller < 3; controller++) {
                simulation.users().queryJob(controller, id, reply -> {});
            }
            simulation
                    .users()
                    .submitOnce(step % 3, simulation.users().submittedSpec(id).orElseThrow(), reply -> {});
            if (step % 97 == 0) {
                simulation.users().cancelJob(step % 3, id, reply -> {});
            }
        }
        simulation.runChecked(40_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Jobs are cancelled around a leader change. Neither leader may start or keep the tasks of cancelled jobs.
    @ParameterizedTest
    @ValueSource(longs = {-400L, -50L, 0L, 100L, 700L, 2_000L})
    void stopsJobsCancelledDuringLeaderChange(long crashAfterMs) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 8, 4, 30, "red");
        simulation.runChecked(9_000);
        int leader = simulation.leader();
        simulation.schedule(simulation.now() + 500, () -> simulation.users().cancelRunningJobs(6));
        simulation.schedule(simulation.now() + 500 + crashAfterMs, () -> simulation.crash(leader, 5_000));
        simulation.runChecked(120_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Other controllers read the writes of a transaction whose response is lost.
    @Test
    void endsJobsWhenTransactionResponsesAreLost() {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().loseTransactionResponses(0.4);
        List<String> jobs = submitArrays(simulation, 10, 3, 5, "blue");
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
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Commands of a leader that has crashed or been deposed arrive after those of its successor. Agents must reject
    // these by the fencing token.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void agentsRejectDelayedCommandsOfPreviousLeader(boolean crashes) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 8, 4, 15, "red");
        simulation.network().delayCommandShare(0.9);
        simulation.runChecked(3_000);
        int leader = simulation.leader();
        if (crashes) {
            simulation.crash(leader, 5_000);
        } else {
            simulation.pauseController(leader, 12_000);
        }
        simulation.runChecked(6_000);
        simulation.network().delayCommandShare(0);
        simulation.users().cancelRunningJobs(3);
        simulation.runChecked(120_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Checks the quotas of several teams. Tasks of cancelled jobs on unreachable machines must count until they have
    // certainly stopped.
    @ParameterizedTest
    @ValueSource(longs = {0L, 10_000L})
    void enforcesQuotasWhenJobsAreCancelledOnPartitionedOrHangingMachines(long hangMs) {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = new ArrayList<>(submitArrays(simulation, 4, 6, 25, "green"));
        for (int i = 0; i < 4; i++) {
            String id = JobRequests.id(500 + i);
            simulation.users().submitUntilAccepted(JobRequests.array(id, "red", 6, 4, 25));
            jobs.add(id);
        }
        simulation.runChecked(20_000);
        List<String> partitioned = firstHalf(simulation.agents().machineIds());
        partitioned.forEach(machine -> simulation.network().partition(machine, Hosts.ALL));
        simulation.cancelRunningJobsWhileMachinesHang(5, hangMs);
        simulation.runChecked(400);
        simulation.crash(simulation.leaderOrFirst(), 5_000);
        simulation.runChecked(AGENT_LEASE_MS - 3_000);
        partitioned.forEach(machine -> simulation.network().heal(machine, Hosts.ALL));
        simulation.runChecked(250_000);
        assertHealthy(simulation);
        assertAllEnded(simulation, jobs);
    }

    // Duplicates of heartbeats sent before a term reach all controllers just as the term begins.
    @Test
    void completesJobsWhenOldHeartbeatsReachNewLeaders() {
        ClusterSimulation simulation = clusterWithServices();
        List<String> jobs = submitArrays(simulation, 6, 4, 12, "red");
        simulation.network().duplicateMessageShare(0.8);
        simulation.runChecked(15_000);
        for (int change = 0; change < 3; change++) {
            simulation.crash(simulation.leaderOrFirst(), 5_000);
            simulation.runChecked(9_000);
        }
        simulation.network().duplicateMessageShare(0);
        simulation.runChecked(120_000);
        assertHealthy(simulation);
        assertAllCompleted(simulation, jobs);
    }

    // New machines get tasks immediately. The machine and the start must be recorded before that, also when the state
    // service is slow and the leader crashes in between.
    @ParameterizedTest
    @ValueSource(longs = {500L, 1_500L, 3_000L})
    void completesJobsWhenLeaderCrashesWithSlowStoreAndNewMachines(long crashAfterMs) {
        ClusterSimulation simulation = clusterWithServices();
        simulation.network().delayStoreUpTo(900);
        simulation.cloud().setBootMs(1_000);
        List<String> jobs = submitArrays(simulation, 8, 5, 10, "red");
        simulation.runChecked(crashAfterMs);
        simulation.crash(simulation.leaderOrFirst(), 700);
        simulation.runChecked(20_000);
        simulation.network().delayStoreUpTo(0);
        simulation.runChecked(100_000);
        assertHealthy(simulation);
        assertAllCompleted(simulation, jobs);
    }
}
