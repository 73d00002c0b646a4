package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import io.quartzgw.model.TeamQuota;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Orders pending jobs for scheduling: by priority, the team's guaranteed quota, whether an objective can still be met,
 * least remaining work, the team's usage, and age. When not all jobs can meet their objectives, the order by least work
 * completes the most jobs, and jobs that are late in any case don't delay the others.
 *
 * <p>Under a steady stream of small jobs, this order alone would starve large and late jobs. So starved jobs rank first
 * within their priority and quota group, the remaining work is discounted with the job's age, and lateness lowers the
 * rank only for a limited time.
 */
final class SchedulingQueue {
    /** From this age on, a job without a running or completed task is starved. */
    private static final int STARVED_AFTER_HEARTBEATS = 24;
    /** At this age, the pending work is divided by four, at twice this age by nine. */
    private static final int AGEING_HEARTBEATS = 12;
    /** From this age on, a job that can no longer meet its objectives is not ranked behind the others. */
    private static final int LATENESS_EXPIRES_HEARTBEATS = 72;

    private final ClusterState cluster;
    private final Map<String, TeamQuota> teams;
    private final ServiceLevelObjectives objectives;
    private final long heartbeatMs;

    SchedulingQueue(
            ClusterState cluster, Map<String, TeamQuota> teams, ServiceLevelObjectives objectives, long heartbeatMs) {
        this.cluster = cluster;
        this.heartbeatMs = heartbeatMs;
        this.objectives = objectives;
        this.teams = teams;
    }

    private record RankedJob(
            Job job, boolean guaranteed, boolean starved, boolean late, double agedCpuSeconds, double teamCpus) {}

    /** Returns the jobs with a pending task and no retry delay, in scheduling order. */
    List<Job> orderedJobs(long now) {
        List<RankedJob> ranked = new ArrayList<>();
        for (Job job : cluster.pendingJobs()) {
            if (job.retryAt() <= now) {
                ranked.add(rank(job, now));
            }
        }
        ranked.sort(
                Comparator.comparing((RankedJob ranking) -> ranking.job.spec().priority())
                        .thenComparing(ranking -> !ranking.guaranteed)
                        .thenComparing(ranking -> !ranking.starved)
                        .thenComparing(ranking -> ranking.late && !ranking.starved)
                        .thenComparing(ranking -> ranking.starved ? 0 : ranking.agedCpuSeconds)
                        .thenComparing(ranking -> ranking.starved ? 0 : ranking.teamCpus)
                        .thenComparing(ranking -> ranking.job.submittedAt())
                        .thenComparing(ranking -> ranking.job.id()));
        return ranked.stream().map(RankedJob::job).toList();
    }

    private RankedJob rank(Job job, long now) {
        Resources usage = cluster.usageByTeam(job.spec().team());
        TeamQuota team = teams.get(job.spec().team());
        boolean guaranteed =
                team != null && team.withinGuarantee(usage.plus(job.spec().demand()));
        long ageMs = now - job.submittedAt();
        boolean late = !objectives.isObjectiveReachable(job, now) && ageMs < LATENESS_EXPIRES_HEARTBEATS * heartbeatMs;
        boolean starved = ageMs >= STARVED_AFTER_HEARTBEATS * heartbeatMs
                && job.completedCount() == 0
                && job.possiblyRunningCount() == 0;
        double ageDivisor = 1 + Math.max(0.0, (double) ageMs) / (AGEING_HEARTBEATS * heartbeatMs);
        double agedWork = job.pendingCpuSeconds() / (ageDivisor * ageDivisor);
        return new RankedJob(job, guaranteed, starved, late, agedWork, usage.cpus());
    }

    /** Returns when the next delayed job may be retried, or {@code Long.MAX_VALUE} if none is delayed. */
    long nextRetryAt(long now) {
        return cluster.pendingJobs().stream()
                .filter(job -> job.retryAt() > now)
                .mapToLong(Job::retryAt)
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
