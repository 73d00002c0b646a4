package io.quartzgw.submission;

import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.TeamQuota;
import java.util.Collection;
import java.util.Map;

/** Decides whether a well-formed job can ever run. */
public final class Admission {
    private final Map<String, TeamQuota> teams;

    public Admission(Map<String, TeamQuota> teams) {
        this.teams = teams;
    }

    /** Why the job can never run, or null when it can. */
    public String refusal(JobSpec job, Collection<MachineType> types) {
        TeamQuota team = teams.get(job.team());
        if (team == null) {
            return "unknown crew";
        }
        if (types.stream().noneMatch(type -> fits(job, type))) {
            return "a task fits no allowed machine type";
        }
        return team.withinLimit(job.neededAtOnce()) ? null : "more than the crew's limit";
    }

    private static boolean fits(JobSpec job, MachineType type) {
        return job.demand().fitsIn(type.size())
                && type.zones().stream().anyMatch(zone -> job.allows(type.name(), zone, false));
    }
}
