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
 * What the platform hands over in the settings file, checked.
 *
 * @param peers the other controllers' peer addresses by member name
 * @param objectives what is expected of each class of jobs
 */
public record Settings(
        String member,
        String site,
        Endpoint clientListen,
        Endpoint peerListen,
        Map<String, Endpoint> peers,
        Endpoint cloud,
        Endpoint state,
        int size,
        List<String> zones,
        double timeBoundMs,
        Map<String, TeamQuota> teams,
        List<Objective> objectives,
        AgentTiming agentTiming,
        double cancelS,
        StoreLimits storeLimits,
        CloudLimits cloudLimits,
        int sockets) {

    /**
     * An aim that users state for a class of jobs; the class is empty where it holds for all.
     *
     * @param times for a deadline, the multiple of it that is meant
     */
    public record Objective(String kind, String workload, double withinS, double times, double share) {}

    /** By class, the largest multiple of its jobs' deadlines within which they should be finished. */
    public Map<String, Double> deadlineGoals() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("deadline"))
                .collect(Collectors.toMap(Objective::workload, Objective::times, Math::max));
    }

    /** By class, the times from submission within which its jobs should be finished. */
    public Map<String, List<Double>> finishGoals() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("finished"))
                .collect(Collectors.groupingBy(
                        Objective::workload, Collectors.mapping(Objective::withinS, Collectors.toList())));
    }

    /** By class, the time from submission within which its tasks should be started. */
    public Map<String, Double> startGoals() {
        return objectives.stream()
                .filter(objective -> objective.kind().equals("wait"))
                .collect(Collectors.toMap(Objective::workload, Objective::withinS, Math::min));
    }

    /** Whether an aim of this kind is stated. */
    public boolean hasObjective(String kind) {
        return objectives.stream().anyMatch(objective -> objective.kind().equals(kind));
    }
}
