package io.quartzgw.app;

import static io.quartzgw.app.ClusterAssertions.assertRecovers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.Hosts;
import io.quartzgw.simulation.SeedRanges;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random simulations in which starts arrive late or never, while gangs, spread services and arrays are preempted,
 * cancelled and moved. Machines hang, reboot, are partitioned or have their inbound or outbound traffic blocked, and
 * the cloud API has outages. Every invariant must hold, and no job may wait forever for a machine to be fenced.
 */
class UnfencedStartsTest {
    private static final long MAX_COMMAND_DELAY_MS = 16_000;
    private static final long FAULTS_END_MS = 150_000;
    private static final long END_MS = 330_000;
    private static final int MACHINES = 12;
    private static final int JOBS = 24;
    private static final int CONTROLLERS = 3;

    static LongStream seeds() {
        return SeedRanges.range("unfenced", 1, 40);
    }

    /** A single controller remains the leader, whichever machines it can reach. */
    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldWhileMachinesReboot(long seed) {
        run(seed, 1, Fault.REBOOT);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldWhileLeadersChange(long seed) {
        run(seed, CONTROLLERS, Fault.LEADER_CRASH);
    }

    static LongStream seedsWithPauses() {
        return SeedRanges.range("unfencedPaused", 1, 30);
    }

    @ParameterizedTest
    @MethodSource("seedsWithPauses")
    void invariantsHoldWhileLeadersPause(long seed) {
        ClusterSimulation simulation = newSimulation(seed, CONTROLLERS);
        LeaderPauses.scheduleAll(simulation, seed, FAULTS_END_MS);
        run(simulation, seed, Fault.LEADER_CRASH);
    }

    static LongStream seedsWithDelayedCalls() {
        return SeedRanges.range("unfencedHeldUp", 1, 20);
    }

    @ParameterizedTest
    @MethodSource("seedsWithDelayedCalls")
    void invariantsHoldWhileCallsAreDelayedForMinutes(long seed) {
        ClusterSimulation simulation = newSimulation(seed, CONTROLLERS);
        DelayedCallBursts.scheduleAll(simulation, seed, FAULTS_END_MS);
        run(simulation, seed, Fault.LEADER_CRASH);
    }

    static LongStream seedsWithCrashes() {
        return SeedRanges.range("unfencedCrashes", 1, 25);
    }

    /** Guards against ran_twice: a new leader has to load the outstanding starts of the previous one. */
    @ParameterizedTest
    @MethodSource("seedsWithCrashes")
    void invariantsHoldWhenLeadersCrashWithDelayedStarts(long seed) {
        ClusterSimulation simulation = newSimulation(seed, CONTROLLERS);
        LeaderCrashesWithDelayedCalls.scheduleAll(simulation, seed, FAULTS_END_MS);
        run(simulation, seed, Fault.REBOOT);
    }

    static LongStream seedsWithTotalLoss() {
        return SeedRanges.range("unfencedTotalLoss", 1, 15);
    }

    /**
     * Guards against ran_twice and ran_cancelled: starts are outstanding when the controllers that track them crash.
     */
    @ParameterizedTest
    @MethodSource("seedsWithTotalLoss")
    void invariantsHoldWhenAllControllersCrashWithDelayedStarts(long seed) {
        ClusterSimulation simulation = newSimulation(seed, CONTROLLERS);
        ControllerCrashes.scheduleAll(simulation, seed, ClusterFixtures.CANCEL_LIMIT_MS, FAULTS_END_MS);
        run(simulation, seed, Fault.REBOOT);
    }

    /**
     * The leader resigns because it can't reach a machine whose inbound traffic is blocked. Its start ("direct call
     * ended outcome=unknown term_current=false" in the log) reaches that machine after a reboot. Guards against a new
     * leader that has no record of the call, verifies the machine before the reboot and starts the task on another one.
     */
    @ParameterizedTest
    @ValueSource(longs = 35)
    void invariantsHoldWhileMachinesRebootAndLeadersResign(long seed) {
        run(seed, CONTROLLERS, Fault.REBOOT);
    }

    /** Faults of a machine, the controllers or the cloud. DEAF blocks inbound traffic, MUTE blocks heartbeats. */
    private enum Fault {
        REBOOT,
        LEADER_CRASH,
        DEAF,
        MUTE,
        CUT_OFF,
        HANG,
        RECLAIM,
        FAIL,
        CLOUD_OUTAGE,
        CANCELLATION
    }

    /** @param special either REBOOT or LEADER_CRASH; the other one does not occur */
    private static void run(long seed, int controllers, Fault special) {
        run(newSimulation(seed, controllers), seed, special);
    }

    private static ClusterSimulation newSimulation(long seed, int controllers) {
        return ClusterSimulation.builder(seed)
                .controllers(controllers)
                .machines(MACHINES)
                .build();
    }

    private static void run(ClusterSimulation simulation, long seed, Fault special) {
        SplittableRandom random = new SplittableRandom(seed);
        simulation.network().delayCommandsUpTo(MAX_COMMAND_DELAY_MS);
        List<String> arrays = submitJobs(simulation, random);
        List<Fault> faults = new ArrayList<>(List.of(Fault.values()));
        faults.remove(special == Fault.REBOOT ? Fault.LEADER_CRASH : Fault.REBOOT);
        faults.add(special);
        for (long at = 20_000; at < FAULTS_END_MS - 45_000; at += 1_000 + random.nextInt(6_000)) {
            Fault fault = faults.get(random.nextInt(faults.size()));
            int choice = random.nextInt(1_000);
            simulation.schedule(at, () -> injectFault(simulation, fault, choice));
        }
        simulation.runChecked(FAULTS_END_MS);
        simulation.network().delayCommandsUpTo(0);
        assertRecovers(simulation, arrays, END_MS);
    }

    private static List<String> submitJobs(ClusterSimulation simulation, SplittableRandom random) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = JobRequests.id(4000 + i);
            boolean service = i % 6 == 0;
            ObjectNode spec = service
                    ? JobRequests.service(id, "blue", 2, 2).put("scatter", i % 12 == 0)
                    : JobRequests.array(id, "blue", 1 + random.nextInt(6), 4, 2 + random.nextInt(14));
            spec.put("pull_gb", random.nextInt(3) * 0.5);
            if (!service) {
                spec.put("loaner", random.nextBoolean()).put("together", random.nextInt(4) == 0);
                spec.put("urgency", List.of("standard", "urgent", "low").get(i % 3));
                spec.put("shape", i % 5 == 1 ? "gang" : "array");
                arrays.add(id);
            }
            long at = random.nextInt(100_000);
            OptionalLong cancelAt = random.nextInt(5) == 0
                    ? OptionalLong.of(at + 2_000 + random.nextInt(25_000))
                    : OptionalLong.empty();
            simulation.schedule(at, () -> simulation.users().submitUntilAccepted(spec, cancelAt));
        }
        return arrays;
    }

    private static void injectFault(ClusterSimulation simulation, Fault fault, int choice) {
        List<String> machines = simulation.agents().machineIds();
        if (machines.isEmpty()) {
            return;
        }
        String machine = machines.get(choice % machines.size());
        long durationMs = 4_000 + 36L * choice;
        switch (fault) {
            case REBOOT -> simulation.agents().reboot(machine, choice % 3 == 0);
            case LEADER_CRASH -> simulation.crash(simulation.leaderOrFirst(), 200 + 5L * choice);
            case DEAF -> {
                simulation.network().setInboundBlocked(machine, true);
                after(simulation, durationMs, () -> simulation.network().setInboundBlocked(machine, false));
            }
            case MUTE -> {
                simulation.network().setHeartbeatsBlocked(machine, true);
                after(simulation, durationMs, () -> simulation.network().setHeartbeatsBlocked(machine, false));
            }
            case CUT_OFF -> {
                simulation.network().partition(machine, Hosts.ALL);
                after(simulation, durationMs, () -> simulation.network().heal(machine, Hosts.ALL));
            }
            case HANG -> {
                simulation.agents().setHanging(machine, true);
                after(simulation, durationMs / 3, () -> simulation.agents().setHanging(machine, false));
            }
            case RECLAIM -> simulation.agents().reclaim(machine, durationMs / 2);
            case FAIL -> simulation.cloud().fail(machine, simulation.now());
            case CLOUD_OUTAGE -> {
                simulation.cloud().setOutage(true);
                after(simulation, durationMs, () -> simulation.cloud().setOutage(false));
            }
            default -> simulation.users().cancelRunningJobs(1);
        }
    }

    private static void after(ClusterSimulation simulation, long durationMs, Runnable action) {
        simulation.schedule(simulation.now() + durationMs, action);
    }
}
