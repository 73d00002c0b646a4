package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertAllCompleted;
import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tasks that fail because their job was submitted with a mistake, or because their machine is faulty. */
class FailedTasksTest {
    /** A job may wait this long beside a machine with free capacity, once the faults have ended. */
    private static final long WAITING_LIMIT_MS = 90_000;

    /** The largest jobs have to begin within this time. */
    private static final long LARGEST_JOBS_BEGIN_MS = 240_000;

    private static final AgentTiming SHORT_TIMING = new AgentTiming(2_500, 16_000, 36_000);
    private static final AgentTiming LONG_TIMING = new AgentTiming(5_000, 26_500, 56_500);
    private static final long BOOTED_AT_MS = 40_000;
    private static final double LARGE_MACHINE_CPUS = 16;
    /** More than half of a small machine, so that each of them runs one replica. */
    private static final double REPLICA_CPUS = 5;

    private static final double TASK_CPUS = 2;
    private static final String LATER_SERVICE = "j-000900";
    /** The quarantine of a machine begins when this many jobs have failed on it. */
    private static final int JOBS_BEFORE_QUARANTINE = 2;
    /** Four heartbeat intervals. */
    private static final long SHORTEST_QUARANTINE_MS = 10_000;

    private static final long LOAD_MS = 120_000;
    /** 12.8 heartbeat intervals. */
    private static final long LONGEST_RETRY_DELAY_MS = 32_000;

    private static final int FIRST_MISTAKEN_JOB = 200;

    private int mistakenJobs;

    /** Returns a cluster whose machines stay rented for a guarantee, without jobs. */
    private static ClusterSimulation guaranteedMachines(int machines, AgentTiming timing) {
        ClusterSimulation simulation = ClusterSimulation.builder(7)
                .timing(timing)
                .machines(machines)
                .guaranteedCpus(machines * LARGE_MACHINE_CPUS)
                .build();
        simulation.runUntil(BOOTED_AT_MS);
        assertEquals(machines, simulation.agents().machineIds().size());
        return simulation;
    }

    /** Returns a cluster whose machines stay rented since each of them runs a replica of a service. */
    private static ClusterSimulation machinesWithReplicas(int machines, AgentTiming timing) {
        ClusterSimulation simulation =
                ClusterSimulation.builder(7).timing(timing).machines(machines).build();
        ObjectNode service = JobRequests.service("j-000001", "blue", machines, REPLICA_CPUS);
        service.putArray("host_types").add("small");
        simulation.users().submitUntilAccepted(service);
        simulation.runUntil(BOOTED_AT_MS);
        assertEquals(machines, simulation.invariants().runningTasks().size());
        return simulation;
    }

    private static ClusterSimulation cluster(int machines, boolean guarantee) {
        return cluster(machines, guarantee, SHORT_TIMING);
    }

    private static ClusterSimulation cluster(int machines, boolean guarantee, AgentTiming timing) {
        return guarantee ? guaranteedMachines(machines, timing) : machinesWithReplicas(machines, timing);
    }

    /** Submits mistaken jobs, each once the one before it has failed, and returns their IDs. */
    private List<String> submitMistakenJobs(ClusterSimulation simulation, int count) {
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = JobRequests.id(FIRST_MISTAKEN_JOB + mistakenJobs);
            mistakenJobs++;
            jobs.add(id);
            long failed = simulation.counter("tasks.failed");
            long deadline = simulation.now() + 3_000;
            simulation
                    .users()
                    .submitUntilAccepted(
                            JobRequests.array(id, "blue", 1, TASK_CPUS, 0.1).put("bundle", "broken"));
            while (simulation.counter("tasks.failed") == failed && simulation.now() < deadline) {
                simulation.runChecked(50);
            }
        }
        return jobs;
    }

    private static void cancel(ClusterSimulation simulation, List<String> jobs) {
        jobs.forEach(job -> simulation.users().cancelJob(simulation.leaderOrFirst(), job, reply -> {}));
    }

    private static void assertLaterServiceRuns(ClusterSimulation simulation) {
        simulation.invariants().endFaults(simulation.now());
        simulation.users().submitUntilAccepted(JobRequests.service(LATER_SERVICE, "blue", 1, TASK_CPUS));
        for (long end = simulation.now() + WAITING_LIMIT_MS + 5_000; simulation.now() < end; ) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertHealthy(simulation);
    }

    // Guards against a quarantine without an end: tasks are what ends it, and a quarantined machine gets none.
    @ParameterizedTest
    @CsvSource({"2, true", "2, false", "12, true", "12, false"})
    void machinesWhereCancelledJobsFailedGetTasksAgain(int machines, boolean guarantee) {
        ClusterSimulation simulation = cluster(machines, guarantee);
        List<String> mistaken = submitMistakenJobs(simulation, 2 * machines + 6);
        cancel(simulation, mistaken);
        assertLaterServiceRuns(simulation);
    }

    // The same while the jobs are still open and fail again and again.
    @ParameterizedTest
    @CsvSource({"2, true", "2, false", "12, false"})
    void machinesWhereJobsFailAgainAndAgainGetTasksOfOthers(int machines, boolean guarantee) {
        ClusterSimulation simulation = cluster(machines, guarantee);
        submitMistakenJobs(simulation, 2 * machines + 6);
        simulation.users().submitUntilAccepted(JobRequests.service(LATER_SERVICE, "blue", 1, TASK_CPUS));
        simulation.runChecked(WAITING_LIMIT_MS);
        assertHealthy(simulation);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void machinesWhereCancelledJobsFailedGetTasksAfterChangeOfLeader(boolean guarantee) {
        ClusterSimulation simulation = cluster(2, guarantee);
        List<String> mistaken = submitMistakenJobs(simulation, 5);
        simulation.crash(simulation.leader(), 5_000);
        simulation.runChecked(10_000);
        mistaken.addAll(submitMistakenJobs(simulation, 5));
        cancel(simulation, mistaken);
        assertLaterServiceRuns(simulation);
    }

    /** Submits an array of one task and returns its ID. */
    private static String submitArray(ClusterSimulation simulation, int number) {
        String id = JobRequests.id(number);
        simulation.users().submitUntilAccepted(JobRequests.array(id, "blue", 1, TASK_CPUS, 2));
        return id;
    }

    // The opposite: a machine on which every task fails is found after two jobs, and gets few tasks from then on.
    @Test
    void faultyMachineIsQuarantinedAfterTwoJobsFailedAndThenTriedWithSingleTasks() {
        ClusterSimulation simulation = cluster(4, false);
        simulation.agents().setFaulty(simulation.agents().machineIds().get(1), true);
        List<String> jobs = new ArrayList<>();
        long start = simulation.now();
        while (simulation.counter("excluded.quarantined") == 0 && simulation.now() < start + 30_000) {
            IntStream.range(0, 3).forEach(i -> jobs.add(submitArray(simulation, 300 + jobs.size())));
            simulation.runChecked(1_000);
        }
        assertEquals(1, simulation.counter("excluded.quarantined"));
        long failed = simulation.counter("tasks.failed");
        assertTrue(failed <= JOBS_BEFORE_QUARANTINE, failed + " tasks failed before the machine was found");
        long found = simulation.now();
        while (simulation.now() < found + LOAD_MS) {
            jobs.add(submitArray(simulation, 300 + jobs.size()));
            simulation.runChecked(1_500);
        }
        failed = simulation.counter("tasks.failed") - failed;
        assertTrue(failed <= 1 + LOAD_MS / SHORTEST_QUARANTINE_MS, failed + " tasks failed later");
        simulation.runChecked(60_000);
        assertAllCompleted(simulation, jobs);
        assertEquals(List.of(), simulation.invariants().violations());
    }

    // Guards against a job that is kept from a machine for good: it failed there once, and there is no other machine.
    @ParameterizedTest
    @CsvSource({"1, true", "1, false", "2, true", "2, false"})
    void jobIsTriedAgainOnMachinesWhereItFailed(int machines, boolean guarantee) {
        ClusterSimulation simulation = cluster(machines, guarantee);
        setFaulty(simulation, true);
        String job = submitArray(simulation, 300);
        runUntilFailed(simulation, machines);
        setFaulty(simulation, false);
        assertRecovers(simulation, job);
    }

    // Guards against a retry delay that is longer than a job may wait: each failed task doubled it.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void jobWithManyFailedTasksIsTriedAgainInTime(boolean guarantee) {
        ClusterSimulation simulation = cluster(2, guarantee, LONG_TIMING);
        setFaulty(simulation, true);
        String job = JobRequests.id(300);
        simulation.users().submitUntilAccepted(JobRequests.array(job, "blue", 10, TASK_CPUS / 10, 2));
        runUntilFailed(simulation, 10);
        setFaulty(simulation, false);
        assertRecovers(simulation, job);
    }

    // A job that fails everywhere must not wear out the fleet: from its second attempt on it fails with one task.
    @Test
    void jobThatFailsEverywhereFailsWithOneTaskInEachFurtherAttempt() {
        ClusterSimulation simulation = cluster(12, true);
        String job = JobRequests.id(FIRST_MISTAKEN_JOB);
        simulation
                .users()
                .submitUntilAccepted(
                        JobRequests.array(job, "blue", 40, TASK_CPUS, 0.1).put("bundle", "broken"));
        runUntilFailed(simulation, 40);
        simulation.runChecked(SHORT_TIMING.heartbeatMs());
        long failed = simulation.counter("tasks.failed");
        simulation.runChecked(LOAD_MS);
        long later = simulation.counter("tasks.failed") - failed;
        assertTrue(later <= 1 + LOAD_MS / LONGEST_RETRY_DELAY_MS, later + " tasks failed in later attempts");
        assertTrue(later > 0, "the job is tried again");
    }

    // Guards against a job for which no machine is rented any more: its first machine was faulty, and is gone.
    @Test
    void machinesAreRentedAgainForJobWithManyFailedTasks() {
        ClusterSimulation simulation = ClusterSimulation.builder(7).machines(2).build();
        simulation.runUntil(BOOTED_AT_MS);
        String job = JobRequests.id(300);
        simulation.users().submitUntilAccepted(JobRequests.array(job, "blue", 4, TASK_CPUS, 2));
        while (simulation.agents().machineIds().isEmpty()) {
            simulation.runChecked(10);
        }
        setFaulty(simulation, true);
        runUntilFailed(simulation, 4);
        simulation.agents().machineIds().forEach(machine -> simulation.cloud().fail(machine, simulation.now()));
        simulation.runChecked(LARGEST_JOBS_BEGIN_MS);
        assertAllCompleted(simulation, List.of(job));
        assertHealthy(simulation);
    }

    private static void setFaulty(ClusterSimulation simulation, boolean on) {
        simulation.agents().machineIds().forEach(machine -> simulation.agents().setFaulty(machine, on));
    }

    private static void runUntilFailed(ClusterSimulation simulation, int tasks) {
        long deadline = simulation.now() + 60_000;
        while (simulation.counter("tasks.failed") < tasks && simulation.now() < deadline) {
            simulation.runChecked(50);
        }
        assertTrue(simulation.counter("tasks.failed") >= tasks, "tasks have failed");
    }

    /** Asserts that from now on the job waits beside no machine with free capacity, and completes. */
    private static void assertRecovers(ClusterSimulation simulation, String job) {
        simulation.invariants().endFaults(simulation.now());
        for (long end = simulation.now() + WAITING_LIMIT_MS + 10_000; simulation.now() < end; ) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertHealthy(simulation);
        assertAllCompleted(simulation, List.of(job));
    }
}
