package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.RetryTiming;
import io.quartzgw.scheduling.StopReason;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the allocations of a machine with the task list of its agent; the task list takes precedence. */
final class TaskReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);
    /** Delay before a job is started again after an agent refused one of its tasks, in heartbeat intervals. */
    private static final double REFUSAL_DELAY_HEARTBEATS = 0.2;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final AllocationRelease allocationRelease;
    private final BiConsumer<Job, Integer> onTaskCompleted;
    private final RetryTiming retryTiming;
    private final long refusalDelayMs;
    /** Agents that still report an exited attempt of a job, by job ID. */
    private final Map<String, Set<AgentState>> agentsReportingExitByJob = new HashMap<>();

    /** @param onTaskCompleted notified of the job and index of each completed task */
    TaskReconciler(
            LeaderContext leader,
            AgentRegistry registry,
            AllocationRelease allocationRelease,
            AgentTiming timing,
            BiConsumer<Job, Integer> onTaskCompleted) {
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.allocationRelease = allocationRelease;
        this.onTaskCompleted = onTaskCompleted;
        this.retryTiming = RetryTiming.of(timing.heartbeatMs());
        this.refusalDelayMs = (long) (REFUSAL_DELAY_HEARTBEATS * timing.heartbeatMs());
    }

    /** Drops the agent of a machine that has been removed. */
    void agentRemoved(AgentState agent) {
        agentsReportingExitByJob.values().removeIf(agents -> agents.remove(agent) && agents.isEmpty());
    }

    /** Applies the task list of a current heartbeat. */
    void apply(AgentState agent, List<Heartbeat.TaskStatus> tasks) {
        Machine machine = agent.machine();
        Set<Attempt> reported = new HashSet<>();
        agent.beginTaskList();
        for (Heartbeat.TaskStatus task : tasks) {
            reported.add(task.attempt());
            Optional<Allocation> allocation = allocationOf(machine, task.attempt());
            if (task.state() == Heartbeat.TaskState.EXITED) {
                reconcileExited(agent, task, allocation);
            } else {
                reconcileRunning(agent, task, allocation.or(() -> restoreUnfenced(machine, task.attempt())));
            }
        }
        updateOrphanCapacity(machine);
        agent.endTaskList(reported);
        releaseUnreported(machine, reported);
    }

    private static Optional<Allocation> allocationOf(Machine machine, Attempt attempt) {
        return Optional.ofNullable(machine.allocation(attempt.task()))
                .filter(allocation -> allocation.attempt() == attempt.number());
    }

    /** Restores the allocation of an unfenced attempt that a new agent runs, because a late start has reached it. */
    private Optional<Allocation> restoreUnfenced(Machine machine, Attempt attempt) {
        Optional<Allocation> unfenced = machine.fencing().find(attempt.task(), attempt.number());
        unfenced.ifPresent(cluster::restoreUnfencedAllocation);
        return unfenced;
    }

    /**
     * Releases the allocations of observed attempts that the agent no longer reports. Either they ended and a previous
     * leader had them removed, or their agent was replaced.
     */
    private void releaseUnreported(Machine machine, Set<Attempt> reported) {
        for (Allocation allocation : machine.allocationsSnapshot()) {
            if (allocation.observed() && !reported.contains(Attempts.of(allocation))) {
                allocationRelease.attemptLost(allocation);
            }
        }
    }

    /** Updates the jobs that must not be placed on the agent's machine, because the agent would refuse their tasks. */
    void updateRefusedJobs(AgentState agent) {
        Set<String> refused = agent.refusedJobs();
        if (!refused.equals(agent.machine().exclusions().refusedJobs())) {
            agent.machine().exclusions().setRefusedJobs(refused);
            cluster.markChanged();
        }
    }

    /**
     * Updates whether a machine runs orphaned attempts. Until these have stopped, they use capacity that belongs to no
     * allocation of an open job.
     */
    void updateOrphanCapacity(Machine machine) {
        cluster.setMayRunOrphans(
                machine,
                cluster.contains(machine)
                        && !registry.agentOf(machine).orphans().isEmpty());
    }

    private void reconcileRunning(AgentState agent, Heartbeat.TaskStatus task, Optional<Allocation> allocation) {
        Allocation.Phase phase = phaseOf(task.state());
        if (allocation.isPresent()) {
            allocation.get().recordPhase(phase, eventLoop.nowMs());
            if (allocation.get().stopping()) {
                registry.addPending(agent);
            }
            return;
        }
        Attempt attempt = task.attempt();
        Optional<Job> job = Attempts.openJob(attempt, cluster).filter(open -> needsAllocation(open, attempt));
        if (job.isPresent()) {
            cluster.allocate(job.get(), attempt.index(), agent.machine(), attempt.number())
                    .recordPhase(phase, eventLoop.nowMs());
            return;
        }
        logOrphan(agent, attempt);
        agent.addOrphan(attempt);
        registry.addPending(agent);
    }

    private void logOrphan(AgentState agent, Attempt attempt) {
        boolean ownTerm = !cluster.isOfPreviousLeader(attempt.number());
        if (ownTerm) {
            eventLoop.increment("orders.started_again", 1);
        }
        LOG.atInfo()
                .addKeyValue("task", attempt.task())
                .addKeyValue("attempt", attempt.number())
                .addKeyValue("machine", agent.machine().id())
                .addKeyValue("own_term", ownTerm)
                .addKeyValue("token", agent.token().current())
                .log("orphaned attempt found");
    }

    private static boolean needsAllocation(Job job, Attempt attempt) {
        return !job.isCompleted(attempt.index()) && job.allocation(attempt.index()) == null;
    }

    private static Allocation.Phase phaseOf(Heartbeat.TaskState state) {
        return switch (state) {
            case FETCHING -> Allocation.Phase.FETCHING;
            case CHECKPOINTING -> Allocation.Phase.CHECKPOINTING;
            default -> Allocation.Phase.RUNNING;
        };
    }

    private void reconcileExited(AgentState agent, Heartbeat.TaskStatus task, Optional<Allocation> allocation) {
        Attempt attempt = task.attempt();
        agent.addExited(attempt);
        agentsReportingExitByJob
                .computeIfAbsent(attempt.job(), id -> new HashSet<>())
                .add(agent);
        Optional<Job> openJob = Attempts.openJob(attempt, cluster);
        if (openJob.isEmpty()) {
            agent.addRemovable(attempt);
        } else if (task.cause() == Heartbeat.ExitCause.DONE
                && !openJob.get().spec().service()) {
            reconcileCompleted(agent, attempt, openJob.get(), allocation);
        } else {
            agent.addUnfinished(attempt);
            if (allocation.isPresent()) {
                recordFailure(allocation.get(), task.cause());
            }
            agent.addRemovable(attempt);
        }
        allocation.ifPresent(allocationRelease::attemptExited);
    }

    private void reconcileCompleted(AgentState agent, Attempt attempt, Job job, Optional<Allocation> allocation) {
        Machine machine = agent.machine();
        machine.exclusions().quarantine().recordSuccess();
        machine.cacheImage(job.spec().image(), job.spec().imageGb());
        if (!job.isCompleted(attempt.index())) {
            cluster.markCompleted(job, attempt.index());
            Allocation other = job.allocation(attempt.index());
            if (other != null && other != allocation.orElse(null)) {
                registry.requestStop(other, 0, StopReason.COMPLETED_ELSEWHERE);
            }
            onTaskCompleted.accept(job, attempt.index());
        }
        if (job.recordedCompleted(attempt.index())) {
            agent.addRemovable(attempt);
        }
    }

    private void recordFailure(Allocation allocation, Heartbeat.ExitCause cause) {
        Job job = allocation.job();
        if (cause == Heartbeat.ExitCause.ERROR) {
            allocation.machine().exclusions().quarantine().recordFailure(allocation, eventLoop.nowMs());
            job.recordFailure(allocation.machine().id(), eventLoop.nowMs(), retryTiming);
            logFailure(allocation);
        } else if (cause == Heartbeat.ExitCause.REFUSED || cause == Heartbeat.ExitCause.GANG_FAILED) {
            job.delayRetry(eventLoop.nowMs() + refusalDelayMs);
        }
    }

    private void logFailure(Allocation allocation) {
        Job job = allocation.job();
        eventLoop.increment("tasks.failed", 1);
        LOG.atInfo()
                .addKeyValue("task", allocation.task())
                .addKeyValue("attempt", allocation.attempt())
                .addKeyValue("machine", allocation.machine().id())
                .addKeyValue("failures", job.failures(eventLoop.nowMs()))
                .addKeyValue("retry_in_ms", job.retryAt() - eventLoop.nowMs())
                .log("task failed");
    }

    /** Handles that completions of tasks of a job have been recorded: the agents may remove those attempts. */
    void completedTasksRecorded(Job job) {
        Set<AgentState> agents = agentsReportingExitByJob.get(job.id());
        if (agents == null) {
            return;
        }
        agents.removeIf(agent -> agent.exitedAttempts(job.id()).isEmpty());
        for (AgentState agent : agents) {
            agent.exitedAttempts(job.id()).stream()
                    .filter(attempt -> job.isTerminal() || job.recordedCompleted(attempt.index()))
                    .forEach(agent::addRemovable);
        }
        if (agents.isEmpty() || job.isTerminal()) {
            agentsReportingExitByJob.remove(job.id());
        }
    }
}
