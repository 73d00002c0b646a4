package io.quartzgw.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.fleet.MachineType;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.http.Json;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Presence;
import io.quartzgw.placement.StopReason;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers workers' reports and weighs what each proves, for one term of this node. */
public final class Workers {
    private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

    private static final Map<Presence.Freshness, String> COUNTED = Map.of(
            Presence.Freshness.CURRENT,
            "reports.current",
            Presence.Freshness.UNVERIFIED,
            "reports.unverified",
            Presence.Freshness.STALE,
            "reports.stale");

    private final Kernel kernel;
    private final Cluster cluster;
    private final MachineTypes types;
    private final LeaderTerm term;
    private final TrackedWorkers tracked;
    private final ReportedTasks tasks;
    private final OrderDelivery delivery;
    private final Map<String, Report> buffered = new HashMap<>();
    private final Predicate<String> cancelled;
    private boolean stateLoaded;

    /** What the rest of the leader wants to know of. */
    public interface Listener {
        /** A task has completed; its finish has to be recorded before the worker may forget it. */
        void finished(Job job, int index);

        /** A machine has to be marked as used before its first start. */
        void needsRecord(Machine machine);

        /** It has to be recorded that a task may be started before it is. */
        void needsRecord(Job job, int index);
    }

    /**
     * @param mostCalls how many direct calls may be under way at once
     * @param cancelled whether a job is known to be cancelled, also before the open jobs have been read
     */
    public Workers(
            Kernel kernel,
            LeaderTerm term,
            Cluster cluster,
            MachineTypes types,
            WorkerTimes times,
            int mostCalls,
            Predicate<String> cancelled,
            Listener listener) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.types = types;
        this.cancelled = cancelled;
        this.term = term;
        this.tracked = new TrackedWorkers(cluster);
        this.tasks = new ReportedTasks(kernel, cluster, tracked, times, listener::finished);
        this.delivery = new OrderDelivery(kernel, term, cluster, tracked, times, mostCalls, listener, this::answered);
    }

    // ---- reports

    /** Answers a report and returns the response's body; the lease goes on. */
    public ObjectNode report(Report report) {
        ObjectNode response = Json.object();
        ArrayNode orders = response.putArray("orders");
        if (!stateLoaded) {
            // Hard state is still being read: keep the newest word of each machine for then.
            buffered.merge(report.machine(), report, (old, now) -> now.newerThan(old) ? now : old);
            stopOver(report, orders);
            return response.put("baton", term.number());
        }
        Presence.Freshness freshness = apply(report, false);
        kernel.count(COUNTED.get(freshness), 1);
        if (freshness != Presence.Freshness.CURRENT) {
            LOG.atDebug()
                    .addKeyValue("machine", report.machine())
                    .addKeyValue("session", report.session())
                    .addKeyValue("counter", report.counter())
                    .addKeyValue("token", report.token())
                    .addKeyValue("freshness", freshness)
                    .addKeyValue("renews", freshness == Presence.Freshness.UNVERIFIED)
                    .log("report proves nothing");
        }
        // Without a token in its answer, a worker drops it: see Presence.answered.
        if (freshness != Presence.Freshness.STALE) {
            response.put("baton", term.number());
            if (freshness != Presence.Freshness.CURRENT) {
                stopOver(report, orders);
            }
            Machine machine = cluster.machine(report.machine());
            // Only in the session that is proved: a start offered to a later one would be executed there, while the
            // proof of that session, already on its way, gives the task to another machine.
            if (machine != null
                    && machine.presence().verified()
                    && machine.presence().session() == report.session()) {
                addPending(tracked.of(machine), report, orders);
            }
        }
        return response;
    }

    private void addPending(TrackedWorker worker, Report report, ArrayNode orders) {
        List<Order> pending = delivery.pendingOrders(worker, false);
        pending.forEach(order -> orders.add(order.toJson()));
        Order.starts(pending).forEach(start -> worker.starts.sentInResponse(start, report.counter()));
        logResponse(report, orders);
    }

    private void logResponse(Report report, ArrayNode orders) {
        if (orders.isEmpty()) {
            return;
        }
        kernel.count("orders.in_responses", orders.size());
        LOG.atDebug()
                .addKeyValue("machine", report.machine())
                .addKeyValue("channel", "response")
                .addKeyValue("term", term.number())
                .addKeyValue("confirmed", term.confirmed())
                .addKeyValue("session", report.session())
                .addKeyValue("counter", report.counter())
                .addKeyValue("orders", orders)
                .log("orders are sent");
    }

    // Guards against leaders that follow each other quickly: each renews the lease with its first answer, and where
    // that stopped nothing, a cancelled task would live as long as they do. Every answer that renews a lease stops what
    // the report lists of jobs that are known to be over, whether or not the report proves anything. Once
    // the open jobs were read, that is every job that the leader doesn't have: only a leader starts tasks, and only of
    // jobs that it has read.
    private void stopOver(Report report, ArrayNode orders) {
        for (Report.TaskReport task : report.tasks()) {
            Attempt attempt = task.attempt();
            if (task.state() != Report.State.ENDED
                    && (cancelled.test(attempt.job()) || stateLoaded && tasks.openJob(attempt) == null)) {
                orders.add(new Order.Stop(attempt, 0).toJson());
            }
        }
    }

    /** Hard state has been read: reports change the cluster state from now on. */
    public void beginApplying() {
        stateLoaded = true;
        buffered.values().forEach(report -> apply(report, false));
        buffered.clear();
    }

    /** Drops what is kept of a machine that is gone. */
    public void forget(Machine machine) {
        tasks.forget(tracked.remove(machine));
    }

    /**
     * Applies what a worker says, as far as it proves anything.
     *
     * @param direct whether it is the answer to an order, and not a report that may be a late copy
     */
    private Presence.Freshness apply(Report report, boolean direct) {
        Machine machine = cluster.machine(report.machine());
        if (machine == null) {
            machine = unexpected(report);
            if (machine == null) {
                return Presence.Freshness.UNVERIFIED;
            }
        }
        Presence presence = machine.presence();
        Presence.Freshness freshness =
                presence.classify(report.session(), report.counter(), report.token() >= term.number(), direct);
        if (freshness == Presence.Freshness.CURRENT) {
            applyCurrent(machine, report, direct);
        } else {
            machine.address(report.address());
            if (!machine.used() || presence.verified()) {
                // A new worker, or the worker of a machine that came back, or a late copy: it shows by its
                // answer. Those that a former leader has used come by themselves once they know the token.
                delivery.contact(machine);
            }
        }
        if (!direct) {
            if (freshness != Presence.Freshness.STALE) {
                presence.answered(kernel.now());
            }
            if (presence.unreachable()) {
                delivery.contact(machine);
            }
        }
        return freshness;
    }

    private void applyCurrent(Machine machine, Report report, boolean direct) {
        Presence presence = machine.presence();
        TrackedWorker worker = tracked.of(machine);
        boolean first = !presence.verified();
        boolean restarted = !first && report.session() > presence.session();
        boolean back = machine.released();
        machine.address(report.address());
        presence.heard(report.session(), report.counter(), kernel.now());
        machine.present();
        if (restarted) {
            // The lease ran out: the worker has killed and forgotten all that it had before. Perhaps no
            // answer reaches it: it gets nothing new before it has answered an order.
            LOG.info("{} starts session {}", machine.id(), report.session());
            worker.sessionEnded();
            tasks.explain(machine);
            machine.bookingsCopy().forEach(cluster::release);
            presence.lostTouch(kernel.now());
        }
        if (!direct) {
            worker.starts.reported(report.counter());
        }
        machine.reclaimAt(
                report.reclaimInS() == null ? Long.MAX_VALUE : kernel.now() + (long) (report.reclaimInS() * 1000));
        if (worker.tells(report.listing()) || back) {
            List<Report.TaskReport> listed = report.tasks();
            kernel.count("reports.read", 1);
            LOG.debug("{} session {} reports {}", machine.id(), report.session(), listed);
            tasks.apply(worker, listed);
        }
        tasks.markRefusedJobs(worker);
        if (first || restarted || back) {
            cluster.touch();
        }
    }

    private Machine unexpected(Report report) {
        MachineType type = types.get(report.machineType());
        // Without this leader's token it may be a late copy of a machine that is long gone.
        if (type == null || cluster.gone(report.machine()) || report.token() < term.number()) {
            return null;
        }
        Machine machine = new Machine(report.machine(), type, report.zone(), report.spot(), kernel.now(), kernel.now());
        cluster.add(machine);
        return machine;
    }

    // The answer to an order names an older message than was known when the order was sent: the machine has
    // a new worker. What the former one ran is gone; a start on its way may yet reach the new one.
    private void workerReplaced(TrackedWorker worker, Report report) {
        Machine machine = worker.machine;
        LOG.info("{} has a new worker", machine.id());
        worker.workerReplaced();
        tasks.explain(machine);
        machine.presence().workerReplaced(report.session(), report.counter());
        for (Booking booking : machine.bookingsCopy()) {
            if (worker.starts.mayArriveLate(Attempt.of(booking))) {
                // Also where the former worker had shown it: what the new one does not report is not gone for that.
                booking.workerReplaced();
            } else {
                cluster.release(booking);
            }
        }
    }

    /** Applies the report with which a worker has answered an order, unless hard state is still being read. */
    private boolean answered(TrackedWorker worker, Report report) {
        if (!stateLoaded) {
            return false;
        }
        Presence presence = worker.machine.presence();
        presence.answersOrders();
        if (presence.verified()
                && !Presence.newer(report.session(), report.counter(), worker.sessionAtCall, worker.counterAtCall)) {
            workerReplaced(worker, report);
        }
        presence.told(report.session());
        apply(report, true);
        return true;
    }

    // ---- orders

    /** Says whether the open jobs explain all that a machine runs: what is being stopped there still takes room. */
    public void explain(Machine machine) {
        tasks.explain(machine);
    }

    /** The finishes of a job's tasks are in the state service: workers may forget them. */
    public void recorded(Job job) {
        tasks.recorded(job);
    }

    /** Has a booking's start sent at the end of this batch. */
    public void start(Booking booking) {
        tracked.start(booking);
    }

    /** Has the starts sent that wait on a machine. */
    public void startsDue(Machine machine) {
        tracked.startsDue(machine);
    }

    /** Has the starts sent of a job's tasks that wait for that. */
    public void startsDue(Job job) {
        tracked.startsDue(job);
    }

    /** Whether a direct order may still start a booking's attempt, however silent its machine is. */
    public boolean startMayArriveLate(Booking booking) {
        return tracked.of(booking.machine()).starts.mayArriveLate(Attempt.of(booking));
    }

    /** Has a task stopped: directly at the end of this batch, and in report responses until it has ended. */
    public void stop(Booking booking, double graceS, StopReason reason) {
        tracked.stop(booking, graceS, reason);
    }

    /** Sends what is due to every worker. */
    public void flush() {
        delivery.flush();
    }

    /** Asks a machine for its report, which also shows it this leader's token. */
    public void contact(Machine machine) {
        delivery.contact(machine);
    }
}
