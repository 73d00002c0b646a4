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
 * The settings file that the platform hands over, validated.
 *
 * @param peers the other controllers' peer addresses by member name
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
     * A service-level objective of a class of jobs; the class is empty where it holds for all.
     *
     * @param deadlineMultiple for a deadline, the multiple of the deadline that counts
     */
    public record Objective(String kind, String jobClass, double withinS, double deadlineMultiple, double share) {}

    /** By class, the largest multiple of its jobs' deadlines within which they should be finished. */
    public Map<String, Double> deadlineObjectives() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("deadline"))
                .collect(Collectors.toMap(Objective::jobClass, Objective::deadlineMultiple, Math::max));
    }

    /** By class, the times from submission within which its jobs should be finished. */
    public Map<String, List<Double>> completionObjectives() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("finished"))
                .collect(Collectors.groupingBy(
                        Objective::jobClass, Collectors.mapping(Objective::withinS, Collectors.toList())));
    }

    /** By class, the time from submission within which its tasks should be started. */
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
