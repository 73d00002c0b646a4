package io.quartzgw.app;

import io.quartzgw.fleet.CloudLimits;
import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.TeamQuota;
import io.quartzgw.store.StoreLimits;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The validated settings file, which the platform provides.
 *
 * @param peers the other controllers' peer addresses by member name
 * @param clockErrorBoundMs maximum deviation of a controller's clock from true time
 * @param objectives the service-level objectives of each class of jobs
 */
public record Settings(
        String member,
        String site,
        Endpoint clientListen,
        Endpoint peerListen,
        Map<String, Endpoint> peers,
        Endpoint cloud,
        Endpoint state,
        int controllerCount,
        List<String> zones,
        double clockErrorBoundMs,
        Map<String, TeamQuota> teams,
        List<Objective> objectives,
        AgentTiming agentTiming,
        double cancelLimitS,
        StoreLimits storeLimits,
        CloudLimits cloudLimits,
        int maxSockets) {

    /**
     * A service-level objective of a class of jobs; an empty class stands for all jobs.
     *
     * @param deadlineMultiple the multiple of the job's deadline to be met; used by objectives on deadlines only
     */
    public record Objective(String kind, String jobClass, double withinS, double deadlineMultiple, double share) {}

    /** Returns by job class the largest multiple of the deadline within which jobs should complete. */
    public Map<String, Double> deadlineObjectives() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("deadline"))
                .collect(Collectors.toMap(Objective::jobClass, Objective::deadlineMultiple, Math::max));
    }

    /** Returns by job class the times from submission within which jobs should complete. */
    public Map<String, List<Double>> completionObjectives() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("finished"))
                .collect(Collectors.groupingBy(
                        Objective::jobClass, Collectors.mapping(Objective::withinS, Collectors.toList())));
    }

    /** Returns by job class the shortest time from submission within which tasks should be started. */
    public Map<String, Double> startObjectives() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("wait"))
                .collect(Collectors.toMap(Objective::jobClass, Objective::withinS, Math::min));
    }

    /** Whether there is an objective of this kind. */
    public boolean hasObjective(String kind) {
        return objectives.stream().anyMatch(objective -> objective.kind().equals(kind));
    }
}
