package io.quartzgw.submission;

import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.TeamQuota;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/** Admission control: decides whether a well-formed job can ever run. */
public final class Admission {
    private final Map<String, TeamQuota> teams;

    /** @param teams quotas by team name */
    public Admission(Map<String, TeamQuota> teams) {
        this.teams = teams;
    }

    /** Returns why the job can never run, or empty if it can. */
    public Optional<String> rejectionReason(JobSpec job, Collection<MachineType> types) {
        TeamQuota team = teams.get(job.team());
        if (team == null) {
            return Optional.of("unknown crew");
        }
        if (types.stream().noneMatch(type -> fits(job, type))) {
            return Optional.of("a task fits no allowed machine type");
        }
        return team.withinLimit(job.minimumDemand()) ? Optional.empty() : Optional.of("more than the crew's limit");
    }

    private static boolean fits(JobSpec job, MachineType type) {
        return job.demand().fitsIn(type.size())
                && type.zones().stream().anyMatch(zone -> job.allows(type.name(), zone, false));
    }
}
