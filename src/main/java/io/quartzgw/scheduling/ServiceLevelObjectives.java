package io.quartzgw.scheduling;

import io.quartzgw.model.JobSpec;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The service-level objectives by job class: completion times, deadline multiple and start time. */
public final class ServiceLevelObjectives {
    /** The fraction of the start objective that an image fetch may take. */
    private static final double MAX_FETCH_FRACTION = 0.75;

    private final Map<String, double[]> completionTargetsS;
    private final Map<String, Double> deadlineMultiples;
    private final Map<String, Double> startTargetsS;

    /**
     * @param completionTargetsS the times from submission within which jobs should be completed, by class
     * @param deadlineMultiples the largest multiple of a job's deadline within which it should be completed, by class
     * @param startTargetsS the time from submission within which tasks should be started, by class
     */
    public ServiceLevelObjectives(
            Map<String, List<Double>> completionTargetsS,
            Map<String, Double> deadlineMultiples,
            Map<String, Double> startTargetsS) {
        this.deadlineMultiples = Map.copyOf(deadlineMultiples);
        this.startTargetsS = Map.copyOf(startTargetsS);
        this.completionTargetsS = completionTargetsS.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> entry.getValue().stream()
                        .mapToDouble(Double::doubleValue)
                        .toArray()));
    }

    /** Whether a task whose image fetch takes this long can meet the start objective of its class. */
    boolean meetsStartObjective(Job job, double fetchS) {
        Double targetS = startTargetsS.get(job.spec().jobClass());
        return targetS != null && fetchS <= MAX_FETCH_FRACTION * targetS;
    }

    /** Whether the job can still meet one of its objectives if its tasks start now; true if it has none. */
    boolean isObjectiveReachable(Job job, long now) {
        JobSpec spec = job.spec();
        double[] targetsS = completionTargetsS.get(spec.jobClass());
        if (targetsS == null && spec.deadlineS() == null) {
            return true;
        }
        long expectedCompletionAt = now + (long) (spec.estimateS() * 1000);
        double multiple = deadlineMultiples.getOrDefault(spec.jobClass(), 1.0);
        boolean meetsDeadline = spec.deadlineS() != null
                && expectedCompletionAt <= job.submittedAt() + multiple * spec.deadlineS() * 1000;
        return meetsDeadline
                || (targetsS != null
                        && Arrays.stream(targetsS)
                                .anyMatch(targetS -> expectedCompletionAt <= job.submittedAt() + targetS * 1000));
    }
}
