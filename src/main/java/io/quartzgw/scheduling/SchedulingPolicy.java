package io.quartzgw.scheduling;

import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.TeamQuota;
import java.util.Map;

/**
 * The settings of a scheduler.
 *
 * @param teams quotas by team name
 * @param objectives service-level objectives of the job classes
 * @param capacityReserved whether capacity stays rented regardless of demand
 * @param agentTiming heartbeat and lease times of the agents
 */
public record SchedulingPolicy(
        Map<String, TeamQuota> teams,
        ServiceLevelObjectives objectives,
        boolean capacityReserved,
        AgentTiming agentTiming) {}
