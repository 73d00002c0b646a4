package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.simulation.ClusterSimulation;
import io.quartzgw.simulation.SeedRanges;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings that change between the process that stores a record and the one that reads it. */
@Timeout(120)
class SettingsChangeTest {
    private static final int CONTROLLERS = 3;
    private static final int KIB = 1_024;
    private static final long DOWN_MS = 2_000;
    /** Long enough for an election and the recovery, and shorter than the agents' lease. */
    private static final long BETWEEN_RESTARTS_MS = 12_000;

    private static final String ARRAY = "j-000700";
    private static final int TASKS = 3_200;
    /** The number of tasks of a bitmap of the earlier version with values of 1 KiB. */
    private static final int TASKS_PER_CHUNK = 1_536;

    private static final double TASK_CPUS = 0.02;
    /** Tasks that run on while all others are completed. */
    private static final Set<Integer> LONG_TASKS = Set.of(1_600, 3_100);

    private static final double LONG_TASK_S = 400;
    private static final long OTHERS_COMPLETED_MS = 60_000;

    /** The records of as many services of six replicas, their machines and as many arrays fill pages of 8 KiB. */
    private static final int SERVICES = 40;

    private static final int FIRST_ARRAY = 800;

    /** The run time of the last task of such an array, and some time to record its end. */
    private static final long LONGEST_ARRAY_TASK_MS = 200_000;

    /** Two intervals at which controllers read the table of machine types. */
    private static final long TYPES_READ_BY_ALL_MS = 125_000;

    /** Longer than the 90 s that a job may wait beside a machine with free capacity. */
    private static final long CHECKED_MS = 95_000;

    private static final int MIN_CHANGE_INTERVAL_MS = 5_000;
    private static final int CHANGE_INTERVAL_SPREAD_MS = 15_000;
    /** The controllers are up again when the other faults end. */
    private static final long LAST_CHANGE_MS = ConcurrentFault.FAULTS_END_MS - DOWN_MS;

    /** How controllers get new settings. */
    private enum Rollout {
        FOLLOWERS_FIRST,
        LEADER_FIRST,
        /** The leader ends before its turn and comes back with its earlier settings. */
        LEADER_CRASHES_BETWEEN,
        ALL_STOPPED
    }

    private static List<Arguments> valueSizeChanges() {
        List<List<Integer>> sizesInKib = List.of(List.of(2, 1), List.of(1, 2), List.of(2, 8, 1, 4, 2));
        return sizesInKib.stream()
                .flatMap(sizes -> Stream.of(Rollout.values()).map(rollout -> Arguments.of(sizes, rollout)))
                .toList();
    }

    // Guards against a stored bitmap of completed tasks that stands for other tasks at a reader with another maximum
    // value size: a running task was killed, and its job called done.
    @ParameterizedTest
    @MethodSource("valueSizeChanges")
    void storedProgressKeepsItsMeaningWhenValueSizeChanges(List<Integer> sizesInKib, Rollout rollout) {
        ClusterSimulation simulation = ClusterSimulation.builder(11).machines(4).build();
        changeValueSize(simulation, sizesInKib.get(0), Rollout.ALL_STOPPED);
        simulation.users().submitUntilAccepted(arrayWithLongTasks());
        simulation.runChecked(OTHERS_COMPLETED_MS);
        Set<String> longTasks =
                Set.copyOf(LONG_TASKS.stream().map(index -> ARRAY + "/" + index).toList());
        assertEquals(longTasks, simulation.invariants().runningTasks(), "all other tasks are completed");
        for (int size : sizesInKib.subList(1, sizesInKib.size())) {
            changeValueSize(simulation, size, rollout);
            assertTrue(simulation.hasLeader());
            assertEquals(longTasks, simulation.invariants().runningTasks(), "with values of " + size + " KiB");
            assertEquals(List.of(), simulation.invariants().violations(), "with values of " + size + " KiB");
        }
        simulation.runChecked((long) (1_000 * LONG_TASK_S));
        assertEquals(Optional.of("done"), simulation.invariants().terminalState(ARRAY));
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(TASKS, simulation.invariants().startCount(), "no completed task is started again");
        assertEquals(0, simulation.failedEvents());
    }

    // Guards against tasks that count as completed because of a bitmap that does not say which tasks it stands for.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 8})
    void progressOfEarlierVersionNeverCountsRunningTaskAsCompleted(int readerKib) {
        ClusterSimulation simulation = ClusterSimulation.builder(11).machines(4).build();
        simulation.users().submitUntilAccepted(arrayWithLongTasks());
        simulation.runChecked(OTHERS_COMPLETED_MS);
        Set<String> longTasks = simulation.invariants().runningTasks();
        assertEquals(LONG_TASKS.size(), longTasks.size());
        IntStream.range(0, CONTROLLERS).forEach(simulation::crash);
        simulation.store().setValue("prog/0", progressOfEarlierVersion());
        changeValueSize(simulation, readerKib, Rollout.ALL_STOPPED);
        assertEquals(2, simulation.counter("progress.unreadable_records"), "the chunks after the first");
        simulation.runChecked(OTHERS_COMPLETED_MS);
        assertEquals(longTasks, simulation.invariants().runningTasks());
        assertEquals(
                TASKS + TASKS - TASKS_PER_CHUNK - LONG_TASKS.size(),
                simulation.invariants().startCount(),
                "completed tasks whose record can't be read are started again");
        simulation.runChecked((long) (1_000 * LONG_TASK_S));
        assertEquals(Optional.of("done"), simulation.invariants().terminalState(ARRAY));
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(0, simulation.failedEvents());
    }

    /** The page of a controller of the version before records stated their tasks, with values of 1 KiB. */
    private static ObjectNode progressOfEarlierVersion() {
        BitSet completed = new BitSet();
        completed.set(0, TASKS);
        LONG_TASKS.forEach(completed::clear);
        ObjectNode page = Json.object();
        for (int chunk = 0; chunk * TASKS_PER_CHUNK < TASKS; chunk++) {
            BitSet tasks = completed.get(chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK);
            page.put(ARRAY + "/" + chunk, tasks.toByteArray());
        }
        return page.put(ARRAY + "/started", TASKS);
    }

    private static ObjectNode arrayWithLongTasks() {
        ObjectNode spec = JobRequests.array(ARRAY, "blue", TASKS, TASK_CPUS, 1).put("ram_gb", 0.01);
        ObjectNode runTimes = spec.putObject("run_s_by_task");
        LONG_TASKS.forEach(index -> runTimes.put(Integer.toString(index), LONG_TASK_S));
        return spec;
    }

    // Guards against pages that can't be written any more: starts that wait for them would never be sent.
    @ParameterizedTest
    @EnumSource(Rollout.class)
    void jobsStartWhenMaximumValueSizeIsLowered(Rollout rollout) {
        ClusterSimulation simulation =
                ClusterSimulation.builder(11).machines(200).build();
        for (int i = 0; i < SERVICES; i++) {
            simulation.users().submitUntilAccepted(JobRequests.service(JobRequests.id(i), "blue", 6, 2));
            simulation
                    .users()
                    .submitUntilAccepted(JobRequests.array(JobRequests.id(FIRST_ARRAY + i), "blue", 12, TASK_CPUS, 30)
                            .put("each_longer_s", 15));
        }
        simulation.runChecked(OTHERS_COMPLETED_MS);
        changeValueSize(simulation, 1, rollout);
        simulation.store().setSizeLimits(KIB, simulation.store().limits().maxTransactionWrites());
        simulation.invariants().endFaults(simulation.now());
        for (int i = 0; i < SERVICES; i++) {
            simulation.users().submitUntilAccepted(JobRequests.service(JobRequests.id(SERVICES + i), "blue", 6, 2));
        }
        for (long end = simulation.now() + CHECKED_MS; simulation.now() < end; ) {
            simulation.runChecked(1_000);
            simulation.checkWaitingJobs();
        }
        assertEquals(List.of(), simulation.invariants().missingReplicas());
        simulation.runChecked(LONGEST_ARRAY_TASK_MS);
        for (int i = 0; i < SERVICES; i++) {
            assertEquals(Optional.of("done"), simulation.invariants().terminalState(JobRequests.id(FIRST_ARRAY + i)));
        }
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(0, simulation.failedEvents());
    }

    // Guards against tasks that run twice, since the new leader's table of machine types lacks the type of their
    // machine.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void tasksOnMachinesOfWithdrawnTypeRunOnce(boolean sizeStored) {
        ClusterSimulation simulation =
                ClusterSimulation.builder(11).machines(40).build();
        ObjectNode array = JobRequests.array(ARRAY, "blue", 40, 8, 400);
        simulation.users().submitUntilAccepted(array);
        simulation.runChecked(OTHERS_COMPLETED_MS);
        assertEquals(40, simulation.invariants().startCount());
        simulation.cloud().setOfferedTypes(List.of("small"));
        simulation.runChecked(TYPES_READ_BY_ALL_MS);
        if (!sizeStored) {
            removeSizes(simulation);
        }
        simulation.crash(simulation.leader(), DOWN_MS);
        simulation.runChecked(OTHERS_COMPLETED_MS);
        assertEquals(List.of(), simulation.invariants().violations());
        assertEquals(40, simulation.invariants().runningTasks().size());
        assertEquals(40, simulation.invariants().startCount(), "no task is started again");
        simulation.runChecked(400_000);
        assertEquals(Optional.of("done"), simulation.invariants().terminalState(ARRAY));
        assertEquals(0, simulation.failedEvents());
    }

    /** Replaces the machines' descriptions by those that a version without sizes would have stored. */
    private static void removeSizes(ClusterSimulation simulation) {
        ObjectNode page = simulation.store().value("mach/0").deepCopy();
        page.forEach(description -> {
            while (description.size() > 4) {
                ((ArrayNode) description).remove(4);
            }
        });
        simulation.store().setValue("mach/0", page);
    }

    // ---- random changes

    static LongStream seeds() {
        return SeedRanges.range("settings", 1, 12);
    }

    // Controllers restart with other limits at any time, so that several settings are in use side by side.
    @ParameterizedTest
    @MethodSource("seeds")
    void invariantsHoldUnderConcurrentFaultsAndChangesOfSizeLimits(long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, CONTROLLERS);
        SplittableRandom random = new SplittableRandom(seed);
        for (long at = MIN_CHANGE_INTERVAL_MS; at < LAST_CHANGE_MS; ) {
            int controller = random.nextInt(CONTROLLERS);
            int kib = 1 << random.nextInt(4);
            int transactionWrites = 4 << random.nextInt(3);
            simulation.schedule(at, () -> {
                setSizeLimits(simulation, controller, kib, transactionWrites);
                simulation.crash(controller, DOWN_MS);
            });
            at += MIN_CHANGE_INTERVAL_MS + random.nextInt(CHANGE_INTERVAL_SPREAD_MS);
        }
        List<String> arrays = RandomFaultsTest.runConcurrentFaults(simulation, seed);
        ClusterAssertions.assertHealthy(simulation);
        ClusterAssertions.assertAllEnded(simulation, arrays);
    }

    // ---- rollouts

    private static void changeValueSize(ClusterSimulation simulation, int kib, Rollout rollout) {
        List<Integer> order = new ArrayList<>(List.of(0, 1, 2));
        int leader = simulation.leaderOrFirst();
        order.remove(Integer.valueOf(leader));
        order.add(rollout == Rollout.LEADER_FIRST ? 0 : CONTROLLERS - 1, leader);
        for (int controller : order) {
            setSizeLimits(
                    simulation,
                    controller,
                    kib,
                    simulation.settings(controller).storeLimits().maxTransactionWrites());
            restart(simulation, controller);
            if (rollout != Rollout.ALL_STOPPED) {
                simulation.runChecked(BETWEEN_RESTARTS_MS);
            }
            if (rollout == Rollout.LEADER_CRASHES_BETWEEN && controller == order.get(0)) {
                simulation.crash(simulation.leaderOrFirst(), DOWN_MS);
                simulation.runChecked(BETWEEN_RESTARTS_MS);
            }
        }
        simulation.runChecked(BETWEEN_RESTARTS_MS);
    }

    private static void setSizeLimits(ClusterSimulation simulation, int controller, int kib, int transactionWrites) {
        StoreLimits limits = simulation.settings(controller).storeLimits();
        simulation.setStoreLimits(
                controller, new StoreLimits(limits.requestsPerS(), limits.writesPerS(), kib * KIB, transactionWrites));
    }

    private static void restart(ClusterSimulation simulation, int controller) {
        if (simulation.isUp(controller)) {
            simulation.crash(controller, DOWN_MS);
        } else {
            simulation.start(controller);
        }
    }
}
