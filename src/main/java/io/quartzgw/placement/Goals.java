package io.quartzgw.placement;

import io.quartzgw.submission.JobSpec;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** By when users want jobs of each class to be finished, as the objectives and deadlines say. */
public final class Goals {
    private final Map<String, double[]> withinS;

    /** @param withinS by class, the times from submission within which its jobs should be finished */
    public Goals(Map<String, List<Double>> withinS) {
        this.withinS = withinS.entrySet().stream().collect(Collectors.toUnmodifiableMap(
                Map.Entry::getKey, entry -> entry.getValue().stream().mapToDouble(Double::doubleValue).toArray()));
    }

    /** Whether the job can still be finished in time for some goal, if its tasks start now. */
    boolean reachable(Job job, long now) {
        JobSpec spec = job.spec();
        double[] goals = withinS.get(spec.workload());
        if (goals == null && spec.deadlineS() == null) {
            return true;
        }
        long finished = now + (long) (spec.estimateS() * 1000);
        return finished <= job.dueAt() && spec.deadlineS() != null
                || goals != null && Arrays.stream(goals).anyMatch(goal -> finished <= job.submittedAt() + goal * 1000);
    }
}
