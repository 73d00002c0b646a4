package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;
import io.quartzgw.model.TeamQuota;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The order in which jobs get room: priority, guarantee, whether a goal can still be reached, then the least work
 * first, the team's use, age. When not all can be in time, the least work first brings the most jobs home, and a job
 * that is late in any case holds up none that is not.
 *
 * <p>Under a steady stream of small jobs that alone would starve the large and the late. So a job that has not begun
 * for a while goes first, work weighs less the longer it waits, and lateness counts only so long.
 */
final class SchedulingQueue {
    /** A job that has no task running or done by now goes first. */
    private static final int STARVED_AFTER_HEARTBEATS = 24;
    /** After so long, waiting work counts for a quarter, after twice as long for a ninth. */
    private static final int AGEING_HEARTBEATS = 12;
    /** After so long, a job that can't be in time any more waits no longer than others. */
    private static final int LATENESS_EXPIRES_HEARTBEATS = 72;

    private final ClusterState cluster;
    private final Map<String, TeamQuota> teams;
    private final ServiceLevelObjectives objectives;
    private final long heartbeatMs;

    SchedulingQueue(ClusterState cluster, Map<String, TeamQuota> teams, ServiceLevelObjectives goals, long reportMs) {
        this.cluster = cluster;
        this.heartbeatMs = reportMs;
        this.objectives = goals;
        this.teams = teams;
    }

    private record RankedJob(
            Job job, boolean guaranteed, boolean starved, boolean late, double work, double teamShare) {}

    /** Jobs with a task to place, first things first. */
    List<Job> order(long now) {
        List<RankedJob> ranked = new ArrayList<>();
        for (Job job : cluster.pendingJobs()) {
            if (job.retryAt() <= now) {
                Resources use = cluster.usageByTeam(job.spec().team());
                TeamQuota team = teams.get(job.spec().team());
                boolean guaranteed =
                        team != null && team.withinGuarantee(use.plus(job.spec().demand()));
                long age = now - job.submittedAt();
                boolean late = !objectives.isReachable(job, now) && age < LATENESS_EXPIRES_HEARTBEATS * heartbeatMs;
                boolean starved = age >= STARVED_AFTER_HEARTBEATS * heartbeatMs
                        && job.doneCount() == 0
                        && job.possiblyRunning() == 0;
                double weight = 1 + Math.max(0.0, age) / (AGEING_HEARTBEATS * heartbeatMs);
                ranked.add(new RankedJob(
                        job, guaranteed, starved, late, job.pendingWork() / (weight * weight), use.cpus()));
            }
        }
        ranked.sort(Comparator.comparing((RankedJob r) -> r.job.spec().priority())
                .thenComparing(r -> !r.guaranteed)
                .thenComparing(r -> !r.starved)
                .thenComparing(r -> r.late && !r.starved)
                .thenComparing(r -> r.starved ? 0 : r.work)
                .thenComparing(r -> r.starved ? 0 : r.teamShare)
                .thenComparing(r -> r.job.submittedAt())
                .thenComparing(r -> r.job.id()));
        return ranked.stream().map(RankedJob::job).toList();
    }

    /** When a paused job may be tried again, or {@code Long.MAX_VALUE}. */
    long nextRetry(long now) {
        return cluster.pendingJobs().stream()
                .filter(job -> job.retryAt() > now)
                .mapToLong(Job::retryAt)
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
