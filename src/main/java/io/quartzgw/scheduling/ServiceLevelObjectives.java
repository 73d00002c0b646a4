package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** By when users want jobs of each class to be finished, as the objectives and deadlines say. */
public final class ServiceLevelObjectives {
    /** The part of the time to start that a fetch may take, as far as it can be foretold. */
    private static final double MAX_FETCH_FRACTION = 0.75;

    private final Map<String, double[]> completionTargetsS;
    private final Map<String, Double> deadlineMultiples;
    private final Map<String, Double> startTargetsS;

    /**
     * @param completionTargetsS by class, the times from submission within which its jobs should be finished
     * @param deadlineMultiples by class, the largest multiple of a job's deadline within which it should be finished
     * @param startTargetsS by class, the time from submission within which its tasks should be started
     */
    public ServiceLevelObjectives(
            Map<String, List<Double>> withinS, Map<String, Double> deadlineTimes, Map<String, Double> startS) {
        this.deadlineMultiples = Map.copyOf(deadlineTimes);
        this.startTargetsS = Map.copyOf(startS);
        this.completionTargetsS = withinS.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> entry.getValue().stream()
                        .mapToDouble(Double::doubleValue)
                        .toArray()));
    }

    /** Whether a task that has to wait so long for its image still starts in good time. */
    boolean startsInTime(Job job, double fetchS) {
        Double goal = startTargetsS.get(job.spec().jobClass());
        return goal != null && fetchS <= MAX_FETCH_FRACTION * goal;
    }

    /** Whether the job can still be finished in time for some goal, if its tasks start now. */
    boolean isReachable(Job job, long now) {
        JobSpec spec = job.spec();
        double[] goals = completionTargetsS.get(spec.jobClass());
        if (goals == null && spec.deadlineS() == null) {
            return true;
        }
        long finished = now + (long) (spec.estimateS() * 1000);
        double times = deadlineMultiples.getOrDefault(spec.jobClass(), 1.0);
        return spec.deadlineS() != null && finished <= job.submittedAt() + times * spec.deadlineS() * 1000
                || goals != null && Arrays.stream(goals).anyMatch(goal -> finished <= job.submittedAt() + goal * 1000);
    }
}
