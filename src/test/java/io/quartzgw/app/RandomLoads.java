package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.ClusterSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** Random jobs for a simulation, submitted within its first 150 seconds; some are cancelled later. */
final class RandomLoads {
    private static final int SUBMISSION_PERIOD_MS = 150_000;
    private static final int MIN_CANCEL_DELAY_MS = 5_000;

    private static final int MIXED_JOBS = 30;
    private static final int FIRST_MIXED_JOB_NUMBER = 1_000;
    private static final int MIXED_CANCEL_SPREAD_MS = 60_000;

    private static final int CONSTRAINED_JOBS = 24;
    private static final int FIRST_CONSTRAINED_JOB_NUMBER = 2_000;
    private static final int CONSTRAINED_CANCEL_SPREAD_MS = 80_000;

    private RandomLoads() {}

    /** Schedules services and arrays of all sizes; returns the ids of the arrays. */
    static List<String> scheduleMixedJobs(ClusterSimulation simulation, SplittableRandom random) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < MIXED_JOBS; i++) {
            String id = JobRequests.id(FIRST_MIXED_JOB_NUMBER + i);
            String team = random.nextBoolean() ? "red" : "blue";
            boolean service = i % 3 == 0;
            ObjectNode spec = service
                    ? JobRequests.service(id, team, 1 + 3 * random.nextInt(2), 2)
                    : JobRequests.array(id, team, 1 + random.nextInt(12), 4, 4 + random.nextInt(10));
            spec.put("scatter", service && random.nextBoolean());
            spec.put("together", !service && random.nextInt(4) == 0);
            spec.put("loaner", !service && random.nextBoolean());
            if (!service) {
                arrays.add(id);
            }
            long submitAt = random.nextInt(SUBMISSION_PERIOD_MS);
            boolean cancelled = (service && i % 2 == 0) || i % 10 == 1;
            schedule(simulation, spec, submitAt, cancelTime(random, cancelled, submitAt, MIXED_CANCEL_SPREAD_MS));
        }
        return arrays;
    }

    /**
     * Schedules a load that exceeds the capacity: jobs of a few tasks that end far apart, jobs bound to a zone, and
     * teams at their quota. Returns the ids of the arrays.
     */
    static List<String> scheduleConstrainedJobs(ClusterSimulation simulation, SplittableRandom random) {
        List<String> arrays = new ArrayList<>();
        for (int i = 0; i < CONSTRAINED_JOBS; i++) {
            String id = JobRequests.id(FIRST_CONSTRAINED_JOB_NUMBER + i);
            boolean service = i % 4 == 0;
            ObjectNode spec = service ? blueService(id, random) : arrayOfAnyTeam(id, i % 4 == 1, random);
            if (random.nextInt(3) == 0) {
                spec.put("yard", random.nextBoolean() ? "a" : "b");
            } else {
                spec.put("together", !service && random.nextInt(3) == 0)
                        .put("scatter", service && random.nextBoolean());
            }
            spec.put("loaner", !service && random.nextBoolean());
            if (!service) {
                spec.put("urgency", List.of("standard", "urgent", "low").get(random.nextInt(3)));
                arrays.add(id);
            }
            long submitAt = random.nextInt(SUBMISSION_PERIOD_MS);
            boolean cancelled = random.nextInt(4) == 0;
            schedule(simulation, spec, submitAt, cancelTime(random, cancelled, submitAt, CONSTRAINED_CANCEL_SPREAD_MS));
        }
        return arrays;
    }

    /** Services use team blue, because they run until they are cancelled and could use up a small quota permanently. */
    private static ObjectNode blueService(String id, SplittableRandom random) {
        return JobRequests.service(id, "blue", 1 + random.nextInt(3), 2);
    }

    private static ObjectNode arrayOfAnyTeam(String id, boolean staggered, SplittableRandom random) {
        String team = List.of("red", "blue", "green", "green").get(random.nextInt(4));
        int tasks = 1 + random.nextInt(staggered ? 3 : 9);
        ObjectNode spec = JobRequests.array(id, team, tasks, 4, 4 + random.nextInt(20));
        if (staggered) {
            spec.put("each_longer_s", 10 + random.nextInt(20));
        }
        return spec;
    }

    private static OptionalLong cancelTime(
            SplittableRandom random, boolean cancelled, long submitAt, int cancelSpreadMs) {
        return cancelled
                ? OptionalLong.of(submitAt + MIN_CANCEL_DELAY_MS + random.nextInt(cancelSpreadMs))
                : OptionalLong.empty();
    }

    private static void schedule(ClusterSimulation simulation, ObjectNode spec, long submitAt, OptionalLong cancelAt) {
        simulation.schedule(submitAt, () -> simulation.users().submitUntilAccepted(spec, cancelAt));
    }
}
