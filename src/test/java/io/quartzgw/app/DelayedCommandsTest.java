package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertRecovers;
import static io.quartzgw.app.ClusterFixtures.AGENT_LEASE_MS;
import static io.quartzgw.app.ClusterFixtures.clusterWithServices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.SeedRanges;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random simulations in which every direct call is delayed by up to most of an agent's lease. Meanwhile the same starts
 * are also sent in heartbeat responses, tasks are stopped shortly after their start, and leaders change. Every
 * invariant must hold.
 */
class DelayedCommandsTest {
    private static final long MAX_COMMAND_DELAY_MS = 16_000;
    private static final int MAX_BATCH_DELAY_MS = 400;
    /** Maximum one-way delay of heartbeats, direct calls and their responses. */
    private static final int MAX_LINK_DELAY_MS = 1_500;
    /** Share of heartbeats that are duplicated; the duplicate arrives later. */
    private static final double DUPLICATE_SHARE = 0.02;
    /** Share of direct calls of which a copy arrives again later. */
    private static final double REPEATED_CALL_SHARE = 0.3;

    private static final long FAULTS_END_MS = 120_000;
    private static final long END_MS = 230_000;
    private static final int MACHINES = 8;
    /** The heartbeat interval is short compared to the direct call timeout, as it effectively is when tasks change. */
    private static final AgentTiming TIMING = new AgentTiming(5_000, 26_500, 56_500);

    static LongStream seeds() {
        return SeedRanges.range("late", 1, 120);
    }

    /** With these seeds a task ran twice, or a machine rejected it forever, before removals waited for duplicates. */
    @ParameterizedTest
    @ValueSource(longs = {11, 306, 318, 415, 440, 476, 491, 492})
    void invariantsHoldForRegressionSeeds(long seed) {
        run(seed, false);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldWhileEveryDirectCommandIsDelayed(long seed) {
        run(seed, false);
    }

    static LongStream seedsWithPauses() {
        return SeedRanges.range("latePaused", 1, 40);
    }

    @ParameterizedTest
    @MethodSource("seedsWithPauses")
    void invariantsHoldWhileLeadersAlsoPause(long seed) {
        ClusterSimulation simulation = newSimulation(seed);
        LeaderPauses.scheduleAll(simulation, seed, FAULTS_END_MS);
        run(simulation, seed, false);
    }

    static LongStream seedsWithRepeatedCalls() {
        return SeedRanges.range("lateRepeated", 1, 30);
    }

    /** Guards against ran_twice: a direct call that was answered arrives again after its attempt was removed. */
    @ParameterizedTest
    @MethodSource("seedsWithRepeatedCalls")
    void invariantsHoldWhileDirectCallsArriveAgain(long seed) {
        ClusterSimulation simulation = newSimulation(seed);
        simulation.network().commandCopies().deliverShare(REPEATED_CALL_SHARE);
        run(simulation, seed, false);
    }

    static LongStream seedsWithCrashes() {
        return SeedRanges.range("lateCrashes", 1, 30);
    }

    /** Guards against ran_twice: a new leader has to load the outstanding starts of the previous one. */
    @ParameterizedTest
    @MethodSource("seedsWithCrashes")
    void invariantsHoldWhenLeadersCrashWithDelayedStarts(long seed) {
        ClusterSimulation simulation = newSimulation(seed);
        LeaderCrashesWithDelayedCalls.scheduleAll(simulation, seed, FAULTS_END_MS);
        run(simulation, seed, true);
    }

    static LongStream seedsWithTotalLoss() {
        return SeedRanges.range("lateTotalLoss", 1, 15);
    }

    /**
     * Guards against ran_twice and ran_cancelled: starts are outstanding when the controllers that track them crash.
     */
    @ParameterizedTest
    @MethodSource("seedsWithTotalLoss")
    void invariantsHoldWhenAllControllersCrashWithDelayedStarts(long seed) {
        ClusterSimulation simulation = newSimulation(seed);
        ControllerCrashes.scheduleAll(simulation, seed, TIMING.cancelLimitMs(), FAULTS_END_MS);
        run(simulation, seed, true);
    }

    /** Commands may reach the agent that replaced their original target. */
    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldWhileMachinesAlsoReboot(long seed) {
        run(seed, true);
    }

    /**
     * A start reaches a replacement agent after the previous agent has ended the attempt, of which the new one has no
     * record.
     */
    @ParameterizedTest
    @ValueSource(longs = {245})
    void replacedAgentDoesNotRunEndedAttempt(long seed) {
        run(seed, true);
    }

    /**
     * A leader crashes or resigns ("leadership acquired" in the log) while its start to a rebooting machine is
     * outstanding. Guards against a new leader that has no record of the start and allocates the task to another
     * machine.
     */
    @ParameterizedTest
    @ValueSource(longs = {10151, 10152, 11367, 11428, 11636})
    void previousLeaderStartIsNotExecutedAfterReboot(long seed) {
        run(seed, true);
    }

    /**
     * A start is sent in the response to a new agent's heartbeat, and "agent replaced" follows in the same batch.
     * Guards against treating starts in responses as no longer executable then, as if the heartbeat came from the
     * previous agent: the allocation was released, and the task started elsewhere while the new agent executed the
     * response.
     */
    @ParameterizedTest
    @ValueSource(longs = 11078)
    void taskStartedInResponseToNewAgentRunsOnce(long seed) {
        run(seed, true);
    }

    /** A machine's inbound traffic is blocked until its epoch ends; then it reboots and restarts its epoch count. */
    @Test
    void startOfEarlierEpochIsNotExecutedAfterEpochReset() {
        ClusterSimulation simulation = clusterWithServices();
        ObjectNode filler = JobRequests.array("j-000700", "blue", 4, 4, 90);
        simulation.users().submitUntilAccepted(filler);
        simulation.runChecked(30_000);
        String machine = simulation
                .agents()
                .machineIds()
                .get(simulation.agents().machineIds().size() - 1);
        simulation.network().setInboundBlocked(machine, true);
        simulation.users().submitUntilAccepted(JobRequests.array("j-000701", "blue", 4, 2, 60));
        simulation.runChecked(AGENT_LEASE_MS + 8_000);
        simulation.agents().reboot(machine, false);
        simulation.network().setInboundBlocked(machine, false);
        simulation.runChecked(120_000);
        assertEquals(List.of(), simulation.invariants().violations());
    }

    private static ClusterSimulation newSimulation(long seed) {
        return ClusterSimulation.builder(seed).machines(MACHINES).timing(TIMING).build();
    }

    private static void run(long seed, boolean reboots) {
        run(newSimulation(seed), seed, reboots);
    }

    private static void run(ClusterSimulation simulation, long seed, boolean reboots) {
        SplittableRandom random = new SplittableRandom(seed);
        simulation.setMaxBatchDelay(1 + random.nextInt(MAX_BATCH_DELAY_MS));
        simulation.network().delayCommandsUpTo(MAX_COMMAND_DELAY_MS);
        simulation.network().delayLinksUpTo(random.nextInt(MAX_LINK_DELAY_MS));
        simulation.network().duplicateMessageShare(DUPLICATE_SHARE);
        List<String> arrays = submitJobs(simulation, random);
        scheduleFaults(simulation, random, reboots);
        simulation.runChecked(FAULTS_END_MS);
        simulation.network().delayCommandsUpTo(0);
        simulation.network().delayLinksUpTo(0);
        assertRecovers(simulation, arrays, END_MS);
    }

    /** Submits jobs that are preempted by urgent ones, jobs that fail at start until cancelled, and cancels some. */
    private static List<String> submitJobs(ClusterSimulation simulation, SplittableRandom random) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            String id = JobRequests.id(3000 + i);
            boolean faulty = i % 4 == 1;
            ObjectNode spec = i % 6 == 0
                    ? JobRequests.service(id, "blue", 1 + random.nextInt(2), 2)
                    : JobRequests.array(id, "blue", 1 + random.nextInt(8), 4, 2 + random.nextInt(14));
            spec.put("loaner", i % 6 != 0 && random.nextInt(4) > 0);
            spec.put("pull_gb", random.nextInt(4) * 0.5);
            if (i % 6 != 0) {
                spec.put("urgency", List.of("standard", "urgent", "low").get(i % 3));
                arrays.add(id);
            }
            if (faulty) {
                spec.put("bundle", "broken").put("runtime_guess_s", 0.3);
            }
            long at = random.nextInt(90_000);
            OptionalLong cancelAt = faulty || random.nextInt(4) == 0
                    ? OptionalLong.of(at + 2_000 + random.nextInt(25_000))
                    : OptionalLong.empty();
            simulation.schedule(at, () -> simulation.users().submitUntilAccepted(spec, cancelAt));
        }
        return arrays;
    }

    private static void scheduleFaults(ClusterSimulation simulation, SplittableRandom random, boolean reboots) {
        for (long at = 15_000; at < FAULTS_END_MS - 20_000; at += 1_000 + random.nextInt(6_000)) {
            int kind = random.nextInt(10);
            int choice = random.nextInt(1_000);
            simulation.schedule(at, () -> {
                List<String> machines = simulation.agents().machineIds();
                if (kind == 0 || machines.isEmpty()) {
                    simulation.crash(simulation.leaderOrFirst(), 200 + 5L * choice);
                    return;
                }
                String machine = machines.get(choice % machines.size());
                switch (kind) {
                    case 1 -> simulation.users().cancelRunningJobs(1);
                    case 2 -> simulation.cloud().fail(machine, simulation.now());
                    case 3 -> {
                        if (reboots) {
                            simulation.agents().reboot(machine, choice % 2 == 0);
                        }
                    }
                    case 4 -> {
                        simulation.agents().setHanging(machine, true);
                        simulation.schedule(
                                simulation.now() + 5L * choice,
                                () -> simulation.agents().setHanging(machine, false));
                    }
                    default -> simulation.agents().reclaim(machine, 4_000 + 12L * choice);
                }
            });
        }
    }
}
