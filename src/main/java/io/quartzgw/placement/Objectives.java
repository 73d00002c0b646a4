package io.quartzgw.placement;

import io.quartzgw.submission.JobSpec;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** By when users want jobs of each class to be finished, as the objectives and deadlines say. */
public final class Objectives {
    /** The part of the time to start that a fetch may take, as far as it can be foretold. */
    private static final double FETCH_PART = 0.75;

    private final Map<String, double[]> withinS;
    private final Map<String, Double> deadlineTimes;
    private final Map<String, Double> startS;

    /**
     * @param withinS by class, the times from submission within which its jobs should be finished
     * @param deadlineTimes by class, the largest multiple of a job's deadline within which it should be finished
     * @param startS by class, the time from submission within which its tasks should be started
     */
    public Objectives(
            Map<String, List<Double>> withinS, Map<String, Double> deadlineTimes, Map<String, Double> startS) {
        this.deadlineTimes = Map.copyOf(deadlineTimes);
        this.startS = Map.copyOf(startS);
        this.withinS = withinS.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> entry.getValue().stream()
                        .mapToDouble(Double::doubleValue)
                        .toArray()));
    }

    /** Whether a task that has to wait so long for its image still starts in good time. */
    boolean startsInTime(Job job, double fetchS) {
        Double goal = startS.get(job.spec().workload());
        return goal != null && fetchS <= FETCH_PART * goal;
    }

    /** Whether the job can still be finished in time for some goal, if its tasks start now. */
    boolean reachable(Job job, long now) {
        JobSpec spec = job.spec();
        double[] goals = withinS.get(spec.workload());
        if (goals == null && spec.deadlineS() == null) {
            return true;
        }
        long finished = now + (long) (spec.estimateS() * 1000);
        double times = deadlineTimes.getOrDefault(spec.workload(), 1.0);
        return spec.deadlineS() != null && finished <= job.submittedAt() + times * spec.deadlineS() * 1000
                || goals != null && Arrays.stream(goals).anyMatch(goal -> finished <= job.submittedAt() + goal * 1000);
    }
}
