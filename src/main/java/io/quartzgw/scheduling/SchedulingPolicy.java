package io.quartzgw.scheduling;

import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.TeamQuota;
import java.util.Map;

/**
 * The settings that a scheduler follows.
 *
 * @param teams quotas by team name
 * @param objectives service-level objectives of the job classes
 * @param capacityReserved whether capacity stays rented whatever the demand
 * @param agentTiming heartbeat and lease times of the agents
 */
public record SchedulingPolicy(
        Map<String, TeamQuota> teams,
        ServiceLevelObjectives objectives,
        boolean capacityReserved,
        AgentTiming agentTiming) {}
