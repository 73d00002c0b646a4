package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Resources;
import io.quartzgw.model.TeamQuota;
import java.util.Map;
import java.util.Optional;

/** The hard constraints of scheduling: which machines get tasks, which machines a job may use, and team quotas. */
final class SchedulingConstraints {
    /** A machine gets no tasks if its last heartbeat response is older than this many heartbeat intervals. */
    private static final double MAX_RESPONSE_AGE_HEARTBEATS = 2.5;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final Map<String, TeamQuota> teams;
    private final long maxResponseAgeMs;

    SchedulingConstraints(EventLoop eventLoop, ClusterState cluster, SchedulingPolicy policy) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.teams = policy.teams();
        this.maxResponseAgeMs =
                (long) (MAX_RESPONSE_AGE_HEARTBEATS * policy.agentTiming().heartbeatMs());
    }

    /** Whether tasks may be allocated to the machine now. */
    boolean isSchedulable(Machine machine) {
        return exclusionReason(machine).isEmpty();
    }

    /** Returns why no tasks may be allocated to the machine now, or empty if they may. */
    Optional<ExclusionReason> exclusionReason(Machine machine) {
        if (machine.status() == Machine.Status.DRAINING) {
            return Optional.of(ExclusionReason.DRAINING);
        }
        if (machine.reservationExpired()) {
            return Optional.of(ExclusionReason.RESERVATION_EXPIRED);
        }
        if (machine.status() == Machine.Status.BOOTING || !machine.liveness().verified()) {
            return Optional.of(machine.hasRunTasks() ? ExclusionReason.UNVERIFIED : ExclusionReason.BOOTING);
        }
        if (machine.liveness().unreachable()) {
            return Optional.of(ExclusionReason.UNREACHABLE);
        }
        if (eventLoop.nowMs() - machine.liveness().lastResponseAt() >= maxResponseAgeMs) {
            return Optional.of(ExclusionReason.UNRESPONSIVE);
        }
        if (machine.reclaimAt() != Long.MAX_VALUE) {
            return Optional.of(ExclusionReason.RECLAIM_ANNOUNCED);
        }
        return machine.exclusions().quarantine().isActive()
                ? Optional.of(ExclusionReason.QUARANTINED)
                : Optional.empty();
    }

    /** Whether the job may use the machine, regardless of its free capacity. */
    boolean isAllowed(Job job, Machine machine) {
        JobSpec spec = job.spec();
        return spec.allows(machine.type().name(), machine.zone(), machine.spot())
                && job.zoneAllowed(machine.zone())
                && !job.excludes(machine.id(), eventLoop.nowMs())
                && !machine.exclusions().refusedJobs().contains(job.id())
                && machine.exclusions().quarantine().admitsTask(machine.allocations());
    }

    /** Whether the team's current usage, including tasks that may be running, is within its quota. */
    boolean isWithinQuota(Job job) {
        TeamQuota team = teams.get(job.spec().team());
        return team != null && team.withinLimit(cluster.maxPossibleUsage(team.name()));
    }

    /** Whether the team's quota allows one more task of the job. */
    boolean taskWithinQuota(Job job) {
        TeamQuota team = teams.get(job.spec().team());
        return team != null
                && team.withinLimit(cluster.maxPossibleUsage(job.spec().team())
                        .plus(job.spec().demand()));
    }

    /** Whether the team's quota allows all pending members of the gang together. */
    boolean gangWithinQuota(Job gang) {
        TeamQuota team = teams.get(gang.spec().team());
        Resources demand = gang.spec().demand().times(gang.pending().cardinality());
        return team != null
                && team.withinLimit(cluster.maxPossibleUsage(team.name()).plus(demand));
    }

    /** The number of the job's pending tasks that the team's quota allows. */
    int pendingTasksWithinQuota(Job job) {
        TeamQuota team = teams.get(job.spec().team());
        Resources usage = cluster.maxPossibleUsage(job.spec().team());
        return team.tasksWithinLimit(usage, job.spec().demand(), job.pending().cardinality());
    }
}
