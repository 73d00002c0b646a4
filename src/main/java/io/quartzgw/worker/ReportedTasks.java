package io.quartzgw.worker;

import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.StopReason;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the tasks that a worker reports with the bookings on its machine. */
final class ReportedTasks {
    private static final Logger LOG = LoggerFactory.getLogger(ReportedTasks.class);
    private static final double ERROR_PAUSE_REPORTS = 0.4;
    private static final double REFUSED_PAUSE_REPORTS = 0.2;

    private final Kernel kernel;
    private final Cluster cluster;
    private final TrackedWorkers tracked;
    private final WorkerTimes times;
    private final BiConsumer<Job, Integer> finished;
    /** By job, the sessions that still report an ended attempt of it. */
    private final Map<String, Set<TrackedWorker>> endedOn = new HashMap<>();

    /** @param finished told of the index of each task that has completed */
    ReportedTasks(
            Kernel kernel,
            Cluster cluster,
            TrackedWorkers tracked,
            WorkerTimes times,
            BiConsumer<Job, Integer> finished) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.tracked = tracked;
        this.times = times;
        this.finished = finished;
    }

    /** Drops what is kept of the worker of a machine that is gone. */
    void forget(TrackedWorker worker) {
        endedOn.values().removeIf(on -> on.remove(worker) && on.isEmpty());
    }

    /** Applies the list of tasks of a current report. */
    void apply(TrackedWorker worker, List<Report.TaskReport> tasks) {
        Machine machine = worker.machine;
        Set<Attempt> reported = new HashSet<>();
        worker.ended.clear();
        worker.failed.clear();
        worker.strays.clear();
        for (Report.TaskReport task : tasks) {
            Booking booking = machine.booking(task.attempt().task());
            if (booking != null && booking.attempt() != task.attempt().number()) {
                booking = null;
            }
            reported.add(task.attempt());
            if (task.state() == Report.State.ENDED) {
                ended(worker, task, booking);
            } else {
                present(worker, task, booking);
            }
        }
        explain(machine);
        worker.removable.retainAll(worker.ended);
        for (Booking booking : machine.bookingsCopy()) {
            // An attempt that was seen and is gone ended and was removed on a former leader's word.
            if (booking.seen() && !reported.contains(Attempt.of(booking))) {
                cluster.release(booking);
            }
        }
    }

    // Guards a task against being started for ever where it is refused: a worker that knows an attempt, ended or not,
    // takes no other one of the same task, and the former one is not removed while a copy of its start may arrive.
    void markRefusedJobs(TrackedWorker worker) {
        Set<String> refused = worker.refusedJobs();
        if (!refused.equals(worker.machine.refusedJobs())) {
            worker.machine.refuses(refused);
            cluster.touch();
        }
    }

    /** Says whether the open jobs explain all that a machine runs: what is being stopped there still takes room. */
    void explain(Machine machine) {
        cluster.unexplained(
                machine,
                cluster.machine(machine.id()) == machine
                        && !tracked.of(machine).strays.isEmpty());
    }

    /** @param booking the attempt's place on the machine, or null when there is none */
    private void present(TrackedWorker worker, Report.TaskReport task, Booking booking) {
        Booking.Phase phase =
                switch (task.state()) {
                    case FETCHING -> Booking.Phase.FETCHING;
                    case SAVING -> Booking.Phase.SAVING;
                    default -> Booking.Phase.RUNNING;
                };
        if (booking != null) {
            booking.seen(phase, kernel.now());
            if (booking.stopping()) {
                tracked.addDue(worker);
            }
            return;
        }
        Attempt attempt = task.attempt();
        Job job = openJob(attempt);
        if (job != null && !job.isDone(attempt.index()) && job.booking(attempt.index()) == null) {
            // The report outranks the bookings: the task is there, and gets its place back.
            cluster.book(job, attempt.index(), worker.machine, attempt.number()).seen(phase, kernel.now());
            return;
        }
        LOG.info("{} on {} has no place there: stopping it", attempt.task(), worker.machine.id());
        worker.strays.add(attempt);
        tracked.addDue(worker);
    }

    /** The open job that an attempt is of, or null. */
    Job openJob(Attempt attempt) {
        Job job = cluster.job(attempt.job());
        return job != null
                        && !job.over()
                        && attempt.index() >= 0
                        && attempt.index() < job.spec().tasks()
                ? job
                : null;
    }

    private void ended(TrackedWorker worker, Report.TaskReport task, Booking booking) {
        Attempt attempt = task.attempt();
        worker.ended.add(attempt);
        endedOn.computeIfAbsent(attempt.job(), id -> new HashSet<>()).add(worker);
        Job job = openJob(attempt);
        if (job != null && task.cause() == Report.Cause.DONE && !job.spec().service()) {
            worker.machine.jobSucceeded();
            worker.machine.holdsImage(job.spec().image(), job.spec().imageGb());
            if (!job.isDone(attempt.index())) {
                cluster.markDone(job, attempt.index());
                Booking other = job.booking(attempt.index());
                if (other != null && other != booking) {
                    tracked.stop(other, 0, StopReason.COMPLETED_ELSEWHERE);
                }
                finished.accept(job, attempt.index());
            }
            if (job.recorded(attempt.index())) {
                worker.removable.add(attempt);
            }
        } else {
            if (job != null) {
                worker.failed.add(attempt);
            }
            if (job != null && booking != null) {
                failed(worker.machine, job, task.cause());
            }
            worker.removable.add(attempt);
        }
        if (booking != null) {
            cluster.release(booking);
        }
    }

    private void failed(Machine machine, Job job, Report.Cause cause) {
        if (cause == Report.Cause.ERROR) {
            // A job's later failures tell of the job: two that fail everywhere must not spoil all machines.
            if (job.errors() == 0) {
                machine.jobFailed(job.id());
            }
            job.failedOn(machine.id(), kernel.now(), (long) (ERROR_PAUSE_REPORTS * times.reportMs()));
        } else if (cause == Report.Cause.REFUSED || cause == Report.Cause.GANG) {
            job.delay(kernel.now() + (long) (REFUSED_PAUSE_REPORTS * times.reportMs()));
        }
    }

    /** The finishes of a job's tasks are in the state service: workers may forget them. */
    void recorded(Job job) {
        Set<TrackedWorker> on = endedOn.get(job.id());
        if (on == null) {
            return;
        }
        on.removeIf(worker ->
                worker.ended.stream().noneMatch(attempt -> attempt.job().equals(job.id())));
        for (TrackedWorker worker : on) {
            worker.ended.stream()
                    .filter(attempt -> attempt.job().equals(job.id()) && (job.over() || job.recorded(attempt.index())))
                    .forEach(worker.removable::add);
        }
        if (on.isEmpty() || job.over()) {
            endedOn.remove(job.id());
        }
    }
}
