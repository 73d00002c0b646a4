package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertHealthy;
import static io.quartzgw.app.ClusterAssertions.assertRecovers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.SeedRanges;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Direct calls are delayed for longer than the cancel limit, on more machines than may be evacuated at the same time.
 * No task of a cancelled job may start when the calls arrive.
 */
class LongCommandDelaysTest {
    private static final int CONTROLLERS = 3;
    static final AgentTiming TIMING = new AgentTiming(5_000, 26_500, 56_500);

    private static final int SERVICES = 12;
    /** Each service takes one large or two small machines; the other half leaves room to move the services. */
    private static final int CAPACITY = 4 * SERVICES;

    private static final int CANCELLED_JOBS = 12;
    private static final long SERVICES_RUNNING_AT_MS = 60_000;
    static final long CANCEL_AFTER_MS = 1_000;
    private static final long RECOVERY_MS = 180_000;

    private static final long FAULTS_BEGIN_MS = 20_000;
    private static final long FAULTS_END_MS = 150_000;
    private static final long END_MS = FAULTS_END_MS + DelayedCallBursts.LONGEST_MS + 90_000;
    private static final int MIN_MACHINES = 4;
    private static final int MACHINE_SPREAD = 12;
    private static final int BACKGROUND_SERVICES = 8;
    private static final int JOBS = 60;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 6);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void cancelledStartDelayedBeyondCancelLimitIsNotExecuted(long seed) {
        ClusterSimulation simulation = clusterWithServiceOnEveryMachine(seed);
        List<String> machines = simulation.agents().machineIds();
        machines.forEach(simulation.network()::delayCommandsTo);
        submitAndCancel(simulation);
        simulation.runChecked(CANCEL_AFTER_MS + TIMING.cancelLimitMs() + TIMING.heartbeatMs());
        assertTrue(simulation.counter("orders.unanswered") > 0, "direct calls are unanswered");
        machines.forEach(simulation.network()::deliverDelayedCommands);
        simulation.runChecked(RECOVERY_MS);
        assertEquals(List.of(), simulation.invariants().violations());
        assertHealthy(simulation);
    }

    /** Creates a cluster in which a service runs on every machine, with room for one more task on each. */
    static ClusterSimulation clusterWithServiceOnEveryMachine(long seed) {
        ClusterSimulation simulation = newSimulation(seed, CAPACITY);
        for (int i = 0; i < SERVICES; i++) {
            ObjectNode service = JobRequests.service(JobRequests.id(i), "blue", 2, 6);
            simulation.schedule(1_000, () -> simulation.users().submitUntilAccepted(service));
        }
        simulation.runUntil(SERVICES_RUNNING_AT_MS);
        return simulation;
    }

    private static ClusterSimulation newSimulation(long seed, int machines) {
        return ClusterSimulation.builder(seed)
                .controllers(CONTROLLERS)
                .machines(machines)
                .timing(TIMING)
                .build();
    }

    static void submitAndCancel(ClusterSimulation simulation) {
        List<ObjectNode> jobs = new ArrayList<>();
        for (int i = 0; i < CANCELLED_JOBS; i++) {
            jobs.add(JobRequests.service(JobRequests.id(700 + i), "green", 1, 2).put("pull_gb", 0.0));
        }
        OptionalLong cancelAt = OptionalLong.of(simulation.now() + CANCEL_AFTER_MS);
        jobs.forEach(job -> simulation.users().submitUntilAccepted(job, cancelAt));
    }

    static LongStream seedsOfBursts() {
        return SeedRanges.range("heldUp", 1, 40);
    }

    @ParameterizedTest
    @MethodSource("seedsOfBursts")
    void invariantsHoldWhileCallsAreDelayedForMinutes(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ClusterSimulation simulation = newSimulation(seed, MIN_MACHINES + random.nextInt(MACHINE_SPREAD));
        List<String> arrays = submitJobs(simulation, random);
        DelayedCallBursts.scheduleAll(simulation, seed, FAULTS_END_MS);
        if (random.nextInt(3) == 0) {
            long crashAt = FAULTS_BEGIN_MS + random.nextInt(100_000);
            simulation.schedule(crashAt, () -> simulation.crash(simulation.leaderOrFirst(), 3_000));
        }
        simulation.runChecked(FAULTS_END_MS);
        assertRecovers(simulation, arrays, END_MS);
    }

    static LongStream seedsOfTotalLoss() {
        return SeedRanges.range("heldUpTotalLoss", 1, 15);
    }

    /**
     * Guards against ran_twice and ran_cancelled: starts are outstanding when the controllers that track them crash.
     */
    @ParameterizedTest
    @MethodSource("seedsOfTotalLoss")
    void invariantsHoldWhenAllControllersCrashWithDelayedStarts(long seed) {
        // With fewer machines, small ones that stay occupied by services leave no room for the other jobs.
        ClusterSimulation simulation = newSimulation(seed, MIN_MACHINES + MACHINE_SPREAD);
        List<String> arrays = submitJobs(simulation, new SplittableRandom(seed));
        ControllerCrashes.scheduleAll(simulation, seed, TIMING.cancelLimitMs(), FAULTS_END_MS);
        simulation.runChecked(FAULTS_END_MS);
        assertRecovers(simulation, arrays, END_MS);
    }

    /** Submits services and arrays, half of which are cancelled shortly afterwards, and returns the arrays' IDs. */
    private static List<String> submitJobs(ClusterSimulation simulation, SplittableRandom random) {
        for (int i = 0; i < BACKGROUND_SERVICES; i++) {
            simulation.users().submitUntilAccepted(JobRequests.service(JobRequests.id(i), "blue", 2, 3));
        }
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = JobRequests.id(5000 + i);
            boolean service = i % 3 == 0;
            ObjectNode spec = service
                    ? JobRequests.service(id, "blue", 1 + random.nextInt(3), 1)
                    : JobRequests.array(id, "blue", 1 + random.nextInt(6), 1, 5 + random.nextInt(30));
            spec.put("pull_gb", random.nextInt(2) * 0.5);
            if (!service) {
                arrays.add(id);
            }
            long at = 5_000L + random.nextInt(115_000);
            OptionalLong cancelAt =
                    random.nextBoolean() ? OptionalLong.of(at + 200 + random.nextInt(4_000)) : OptionalLong.empty();
            simulation.schedule(at, () -> simulation.users().submitUntilAccepted(spec, cancelAt));
        }
        return arrays;
    }
}
