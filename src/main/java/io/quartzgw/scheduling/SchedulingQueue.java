package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import io.quartzgw.model.TeamQuota;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The order in which pending jobs are scheduled: priority, the team's guaranteed quota, whether an objective can still
 * be met, then least remaining work first, the team's usage, age. When not all jobs can meet their objectives, least
 * work first completes the most of them, and a job that is late in any case delays none that is not.
 *
 * <p>Under a steady stream of small jobs that alone would starve large and late jobs. So a job that has not started for
 * a while goes first, work is discounted the longer it waits, and lateness counts for a limited time only.
 */
final class SchedulingQueue {
    /** A job of this age without a running or done task goes first. */
    private static final int STARVED_AFTER_HEARTBEATS = 24;
    /** At this age, pending work counts for a quarter, at twice the age for a ninth. */
    private static final int AGEING_HEARTBEATS = 12;
    /** From this age on, a job that can no longer meet its objectives is not ranked behind others for it. */
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

    /** Jobs with a pending task whose retry delay is over, the most urgent first. */
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
                && job.doneCount() == 0
                && job.possiblyRunningCount() == 0;
        double ageDivisor = 1 + Math.max(0.0, (double) ageMs) / (AGEING_HEARTBEATS * heartbeatMs);
        double agedWork = job.pendingCpuSeconds() / (ageDivisor * ageDivisor);
        return new RankedJob(job, guaranteed, starved, late, agedWork, usage.cpus());
    }

    /** When the next delayed job may be retried, or {@code Long.MAX_VALUE} if none is delayed. */
    long nextRetryAt(long now) {
        return cluster.pendingJobs().stream()
                .filter(job -> job.retryAt() > now)
                .mapToLong(Job::retryAt)
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
