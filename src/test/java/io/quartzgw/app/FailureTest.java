package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.standin.SimWorld;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/** Three cores in a simulated world, through failures; every rule of the protocol is watched. */
class FailureTest {
    private static final long END = 420_000;
    private static final long TROUBLES_END = 215_000;

    static ObjectNode job(String id, String crew, String shape, int tasks, double cpus, double runS) {
        ObjectNode job = Json.object().put("id", id).put("workload", shape).put("crew", crew).put("shape", shape)
                .put("urgency", shape.equals("daemon") ? "critical" : "standard").put("shards", tasks)
                .put("cpus", cpus).put("gpus", 0.0).put("ram_gb", 1.0).put("bundle", "img-" + tasks % 3)
                .put("pull_gb", 1.0).put("together", false).put("scatter", false).put("loaner", false)
                .put("runtime_guess_s", runS).put("snapshot_every_s", 0.0).put("snapshot_cost_s", 0.0);
        return job;
    }

    private static List<String> load(SimWorld world, SplittableRandom random) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            String id = String.format("j-%06d", 1000 + i);
            String crew = random.nextBoolean() ? "red" : "blue";
            boolean service = i % 3 == 0;
            ObjectNode spec = service ? job(id, crew, "daemon", 1 + 3 * random.nextInt(2), 2, 0)
                    : job(id, crew, "array", 1 + random.nextInt(12), 4, 4 + random.nextInt(10));
            spec.put("scatter", service && random.nextBoolean());
            spec.put("together", !service && random.nextInt(4) == 0);
            spec.put("loaner", !service && random.nextBoolean());
            if (!service) {
                arrays.add(id);
            }
            long at = random.nextInt(150_000);
            Long abort = service && i % 2 == 0 || i % 10 == 1 ? (Long) (at + 5_000 + random.nextInt(60_000)) : null;
            world.at(at, () -> world.job(spec, abort));
        }
        return arrays;
    }

    private static void faults(SimWorld world, SplittableRandom random) {
        for (long at = 20_000; at < 180_000; at += 8_000 + random.nextInt(12_000)) {
            long lasts = 2_000 + random.nextInt(28_000);
            int node = random.nextInt(3);
            String other = List.of("rig-0", "rig-1", "rig-2", SimWorld.STORE, SimWorld.CLOUD, "*").get(random.nextInt(6));
            int kind = random.nextInt(12);
            long start = at;
            world.at(start, () -> {
                LoggerFactory.getLogger("world").info("{} ms: failure {} of node {} or {} for {} ms", start, kind, node,
                        other, lasts);
                List<String> machines = world.machines();
                String machine = machines.isEmpty() ? null : machines.get((int) (start % machines.size()));
                switch (kind) {
                    case 0 -> crash(world, node, 5_000);
                    case 1 -> {
                        for (int i = 0; i < 3; i++) {
                            crash(world, i, 4_000 + 700L * i);
                        }
                    }
                    case 2 -> {
                        world.store.outage(true);
                        world.at(start + lasts, () -> world.store.outage(false));
                    }
                    case 3 -> {
                        world.cut("rig-" + node, other);
                        world.at(start + lasts, () -> world.heal("rig-" + node, other));
                    }
                    case 4 -> {
                        if (machine != null) {
                            world.cut(machine, "*");
                            world.at(start + lasts, () -> world.heal(machine, "*"));
                        }
                    }
                    case 5 -> {
                        if (machine != null) {
                            world.hang(machine, true);
                            world.at(start + lasts, () -> world.hang(machine, false));
                        }
                    }
                    case 6 -> {
                        if (machine != null) {
                            world.cloud.fail(machine, start);
                        }
                    }
                    case 7 -> {
                        for (String deaf : machines.subList(0, (machines.size() + 1) / 2)) {
                            world.deafen(deaf, true);
                            world.at(start + lasts, () -> world.deafen(deaf, false));
                        }
                    }
                    case 8 -> crash(world, node, 100 + lasts % 400);
                    case 9 -> {
                        // The leader goes, and the one that stands for it is back in the middle of the election.
                        crash(world, node, 200);
                        world.at(start + 3_900 + lasts % 300, () -> crash(world, (node + 1) % 3, 100 + lasts % 200));
                    }
                    case 10 -> {
                        if (machine != null) {
                            world.reboot(machine, lasts % 2 == 0);
                        }
                    }
                    default -> {
                        for (String far : List.of("rig-0", "rig-1", "rig-2", SimWorld.STORE)) {
                            if (!far.equals("rig-" + node)) {
                                world.cut("rig-" + node, far);
                                world.at(start + lasts, () -> world.heal("rig-" + node, far));
                            }
                        }
                    }
                }
            });
        }
    }

    private static void crash(SimWorld world, int node, long downMs) {
        if (world.isUp(node)) {
            world.crash(node);
            world.at(world.now() + downMs, () -> world.start(node));
        }
    }

    private static void play(SimWorld world, long end) {
        while (world.now() < end) {
            world.runUntil(world.now() + 1_000);
            world.rules.sweep(world.now());
        }
    }

    @Test
    void aQuietDayEndsWithEveryArrayDone() {
        SimWorld world = new SimWorld(1, 3);
        List<String> arrays = load(world, new SplittableRandom(1));
        play(world, END);
        assertEquals(List.of(), world.rules.broken());
        assertTrue(arrays.stream().allMatch(id -> world.rules.finalPhase(id) != null), "every array is over");
    }

    /** Fixed seeds; {@code -Dquartzgw.first=11 -Dquartzgw.seeds=500} tries others by hand. */
    static LongStream seeds() {
        long first = Long.getLong("quartzgw.first", 11);
        return LongStream.range(first, first + Integer.getInteger("quartzgw.seeds", 24));
    }

    /**
     * Worlds in which a rule was broken once: late records, late notices, a hold dropped by its owner, tasks of
     * withdrawn jobs on silent machines that no quota counted, a late start that reached a new worker, a start
     * offered to a session that was not proved yet.
     */
    @ParameterizedTest
    @ValueSource(longs = {26, 298, 392, 422, 429, 430, 466, 553, 563, 10_090, 10_389, 20_317, 20_676, 310_494})
    void worldsThatOnceBrokeARuleKeepIt(long seed) {
        rulesHoldThroughRandomFailures(seed);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldThroughRandomFailures(long seed) {
        SimWorld world = new SimWorld(seed, 3);
        world.lateTransactions(0.01);
        world.lateCopies(0.02);
        SplittableRandom random = new SplittableRandom(seed);
        List<String> arrays = load(world, random);
        faults(world, random);
        world.at(TROUBLES_END, () -> world.rules.troublesOver(TROUBLES_END));
        play(world, END);
        assertEquals(List.of(), world.rules.broken());
        assertEquals(0, world.failures(), "commands that failed inside a node");
        assertEquals(List.of(), world.rules.missingReplicas(), "every service runs");
        assertTrue(world.rules.started() > 50, "tasks were started");
        List<String> unfinished = arrays.stream().filter(id -> world.rules.finalPhase(id) == null).toList();
        assertEquals(List.of(), unfinished, "every array is over, long after the last failure");
    }
}
