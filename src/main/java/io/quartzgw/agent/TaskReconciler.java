package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the tasks that a worker reports with the bookings on its machine. */
final class TaskReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);
    private static final double ERROR_PAUSE_HEARTBEATS = 0.4;
    private static final double REJECTED_PAUSE_HEARTBEATS = 0.2;

    private final EventLoop kernel;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final AgentTiming times;
    private final BiConsumer<Job, Integer> finished;
    /** By job, the sessions that still report an ended attempt of it. */
    private final Map<String, Set<AgentState>> agentsReportingExit = new HashMap<>();

    /** @param finished told of the index of each task that has completed */
    TaskReconciler(
            EventLoop kernel,
            ClusterState cluster,
            AgentRegistry tracked,
            AgentTiming times,
            BiConsumer<Job, Integer> finished) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.registry = tracked;
        this.times = times;
        this.finished = finished;
    }

    /** Drops what is kept of the worker of a machine that is gone. */
    void forget(AgentState worker) {
        agentsReportingExit.values().removeIf(on -> on.remove(worker) && on.isEmpty());
    }

    /** Applies the list of tasks of a current report. */
    void apply(AgentState worker, List<Heartbeat.TaskStatus> tasks) {
        Machine machine = worker.machine;
        Set<Attempt> reported = new HashSet<>();
        worker.exited.clear();
        worker.unfinished.clear();
        worker.orphans.clear();
        for (Heartbeat.TaskStatus task : tasks) {
            Allocation booking = machine.allocation(task.attempt().task());
            if (booking != null && booking.attempt() != task.attempt().number()) {
                booking = null;
            }
            reported.add(task.attempt());
            if (task.state() == Heartbeat.TaskState.EXITED) {
                reconcileExited(worker, task, booking);
            } else {
                reconcileRunning(worker, task, booking);
            }
        }
        updateUnexplained(machine);
        worker.removable.retainAll(worker.exited);
        for (Allocation booking : machine.allocationsSnapshot()) {
            // An attempt that was seen and is gone ended and was removed on a former leader's word.
            if (booking.observed() && !reported.contains(Attempt.of(booking))) {
                cluster.release(booking);
            }
        }
    }

    // Guards a task against being started for ever where it is refused: a worker that knows an attempt, ended or not,
    // takes no other one of the same task, and the former one is not removed while a copy of its start may arrive.
    void updateRefusedJobs(AgentState worker) {
        Set<String> refused = worker.refusedJobs();
        if (!refused.equals(worker.machine.refusedJobs())) {
            worker.machine.refuseJobs(refused);
            cluster.markChanged();
        }
    }

    /** Says whether the open jobs explain all that a machine runs: what is being stopped there still takes room. */
    void updateUnexplained(Machine machine) {
        cluster.unexplainedMachines(
                machine,
                cluster.machine(machine.id()) == machine
                        && !registry.agentOf(machine).orphans.isEmpty());
    }

    /** @param booking the attempt's place on the machine, or null when there is none */
    private void reconcileRunning(AgentState worker, Heartbeat.TaskStatus task, Allocation booking) {
        Allocation.Phase phase =
                switch (task.state()) {
                    case FETCHING -> Allocation.Phase.FETCHING;
                    case CHECKPOINTING -> Allocation.Phase.CHECKPOINTING;
                    default -> Allocation.Phase.RUNNING;
                };
        if (booking != null) {
            booking.observed(phase, kernel.nowMs());
            if (booking.stopping()) {
                registry.addPending(worker);
            }
            return;
        }
        Attempt attempt = task.attempt();
        Job job = attempt.openJob(cluster).orElse(null);
        if (job != null && !job.isDone(attempt.index()) && job.allocation(attempt.index()) == null) {
            // The report outranks the bookings: the task is there, and gets its place back.
            cluster.allocate(job, attempt.index(), worker.machine, attempt.number())
                    .observed(phase, kernel.nowMs());
            return;
        }
        LOG.info("{} on {} has no place there: stopping it", attempt.task(), worker.machine.id());
        worker.orphans.add(attempt);
        registry.addPending(worker);
    }

    private void reconcileExited(AgentState worker, Heartbeat.TaskStatus task, Allocation booking) {
        Attempt attempt = task.attempt();
        worker.exited.add(attempt);
        agentsReportingExit
                .computeIfAbsent(attempt.job(), id -> new HashSet<>())
                .add(worker);
        Job job = attempt.openJob(cluster).orElse(null);
        if (job != null
                && task.cause() == Heartbeat.ExitCause.DONE
                && !job.spec().service()) {
            worker.machine.jobSucceeded();
            worker.machine.cacheImage(job.spec().image(), job.spec().imageGb());
            if (!job.isDone(attempt.index())) {
                cluster.markDone(job, attempt.index());
                Allocation other = job.allocation(attempt.index());
                if (other != null && other != booking) {
                    registry.requestStop(other, 0, StopReason.COMPLETED_ELSEWHERE);
                }
                finished.accept(job, attempt.index());
            }
            if (job.recordedDone(attempt.index())) {
                worker.removable.add(attempt);
            }
        } else {
            if (job != null) {
                worker.unfinished.add(attempt);
            }
            if (job != null && booking != null) {
                recordFailure(worker.machine, job, task.cause());
            }
            worker.removable.add(attempt);
        }
        if (booking != null) {
            cluster.release(booking);
        }
    }

    private void recordFailure(Machine machine, Job job, Heartbeat.ExitCause cause) {
        if (cause == Heartbeat.ExitCause.ERROR) {
            // A job's later failures tell of the job: two that fail everywhere must not spoil all machines.
            if (job.failures() == 0) {
                machine.jobFailed(job.id());
            }
            job.recordFailure(machine.id(), kernel.nowMs(), (long) (ERROR_PAUSE_HEARTBEATS * times.heartbeatMs()));
        } else if (cause == Heartbeat.ExitCause.REFUSED || cause == Heartbeat.ExitCause.GANG_FAILED) {
            job.delayRetry(kernel.nowMs() + (long) (REJECTED_PAUSE_HEARTBEATS * times.heartbeatMs()));
        }
    }

    /** The finishes of a job's tasks are in the state service: workers may forget them. */
    void finishesRecorded(Job job) {
        Set<AgentState> on = agentsReportingExit.get(job.id());
        if (on == null) {
            return;
        }
        on.removeIf(worker ->
                worker.exited.stream().noneMatch(attempt -> attempt.job().equals(job.id())));
        for (AgentState worker : on) {
            worker.exited.stream()
                    .filter(attempt ->
                            attempt.job().equals(job.id()) && (job.isTerminal() || job.recordedDone(attempt.index())))
                    .forEach(worker.removable::add);
        }
        if (on.isEmpty() || job.isTerminal()) {
            agentsReportingExit.remove(job.id());
        }
    }
}
