package io.quartzgw.app;

import io.quartzgw.fleet.FleetManager;
import io.quartzgw.model.TeamQuota;
import io.quartzgw.recovery.RecoveryTiming;
import io.quartzgw.scheduling.SchedulingPolicy;
import io.quartzgw.scheduling.ServiceLevelObjectives;

/** Derives the policies of the leader's components from the settings. */
final class LeaderPolicies {
    /** Two controllers' clocks may deviate from true time in opposite directions, each by the error bound. */
    private static final int CLOCKS_PER_SKEW = 2;

    private LeaderPolicies() {}

    static SchedulingPolicy scheduling(Settings settings) {
        ServiceLevelObjectives objectives = new ServiceLevelObjectives(
                settings.completionObjectives(), settings.deadlineObjectives(), settings.startObjectives());
        return new SchedulingPolicy(settings.teams(), objectives, reservedCpus(settings) > 0, settings.agentTiming());
    }

    static FleetManager.Policy fleet(Settings settings, RecoveryTiming recoveryTiming) {
        return new FleetManager.Policy(
                reservedCpus(settings),
                recoveryTiming.reservationMs(),
                settings.agentTiming().cancelLimitMs(),
                settings.cloudLimits().listLagMs());
    }

    static long maxClockSkewMs(Settings settings) {
        return CLOCKS_PER_SKEW * (long) settings.clockErrorBoundMs();
    }

    // If jobs within the guaranteed quota have an objective, their capacity is rented before they arrive.
    private static double reservedCpus(Settings settings) {
        return settings.hasObjective("guarantee")
                ? settings.teams().values().stream()
                        .mapToDouble(TeamQuota::guaranteedCpus)
                        .sum()
                : 0;
    }
}
