package io.quartzgw.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.fleet.MachineType;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Presence;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies workers' reports to the book and sends them orders, for one term of this node.
 *
 * <p>A start that was sent directly and not answered may still be executed minutes later. Its booking stands: the same
 * attempt is offered again in report responses, and the task goes nowhere else until the machine answers for it, starts
 * a new session, or is surely gone.
 */
public final class Workers {
    private static final Logger LOG = LoggerFactory.getLogger(Workers.class);
    /** A direct order that takes longer than this part of a report interval is given up. */
    private static final double ORDER_TIMEOUT_REPORTS = 0.8;
    /** The part of the direct calls that may be spent on asking the silent, so that orders always get through. */
    private static final double CONTACTS = 0.5;

    private static final double ERROR_PAUSE_REPORTS = 0.4;
    private static final double REFUSED_PAUSE_REPORTS = 0.2;

    private static final Map<Presence.Proof, String> COUNTED = Map.of(
            Presence.Proof.VOUCHES,
            "reports.vouches",
            Presence.Proof.UNPROVEN,
            "reports.unproven",
            Presence.Proof.OVERTAKEN,
            "reports.overtaken");

    private final Kernel kernel;
    private final Cluster cluster;
    private final MachineTypes types;
    private final WorkerTimes times;
    private final LeaderTerm term;
    private final Listener listener;
    private final Map<String, Session> sessions = new HashMap<>();
    /** Sessions with something to order, in the order in which it fell due. */
    private final Set<Session> due = new LinkedHashSet<>();
    /** By job, the sessions that still report an ended attempt of it. */
    private final Map<String, Set<Session>> endedOn = new HashMap<>();

    private final Map<String, Report> early = new HashMap<>();
    private final Predicate<String> cancelled;
    private final int mostCalls;
    private int calls;
    private boolean booksOpen;

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
        this.times = times;
        this.mostCalls = mostCalls;
        this.cancelled = cancelled;
        this.term = term;
        this.listener = listener;
    }

    // ---- reports

    /** Answers a report and returns the response's body; the lease goes on. */
    public ObjectNode report(Report report) {
        ObjectNode response = Json.object();
        ArrayNode orders = response.putArray("orders");
        if (!booksOpen) {
            // Hard state is still being read: keep the newest word of each machine for then.
            early.merge(report.machine(), report, (old, now) -> now.newerThan(old) ? now : old);
            stopOver(report, orders);
            return response.put("baton", term.number());
        }
        Presence.Proof proof = apply(report, false);
        kernel.count(COUNTED.get(proof), 1);
        // Without a token in its answer, a worker drops it: see Presence.answered.
        if (proof != Presence.Proof.OVERTAKEN) {
            response.put("baton", term.number());
            if (proof != Presence.Proof.VOUCHES) {
                stopOver(report, orders);
            }
            Machine machine = cluster.machine(report.machine());
            // Only in the session that is proved: a start offered to a later one would be executed there, while the
            // proof
            // of that session, already on its way, gives the task to another machine.
            if (machine != null
                    && machine.presence().vouched()
                    && machine.presence().tenure() == report.tenure()) {
                pendingOrders(session(machine), false).forEach(order -> orders.add(order.toJson()));
            }
        }
        return response;
    }

    // Guards against leaders that follow each other quickly: each renews the lease with its first answer, and where
    // that
    // stopped nothing, a cancelled task would live as long as they do. Every answer that renews a lease stops what the
    // report lists of jobs that are known to be over, whether or not the report proves anything. Once the open jobs
    // were
    // read that is every job that the book doesn't have: only a leader starts tasks, and only of jobs that it has read.
    private void stopOver(Report report, ArrayNode orders) {
        for (Report.TaskReport task : report.tasks()) {
            Attempt attempt = task.attempt();
            if (task.state() != Report.State.ENDED
                    && (cancelled.test(attempt.job()) || booksOpen && openJob(attempt) == null)) {
                orders.add(new Order.Kill(attempt, 0).toJson());
            }
        }
    }

    /** Hard state has been read: reports change the book from now on. */
    public void openBooks() {
        booksOpen = true;
        early.values().forEach(report -> apply(report, false));
        early.clear();
    }

    private Session session(Machine machine) {
        Session session = sessions.get(machine.id());
        if (session == null || session.machine != machine) {
            session = new Session(machine);
            sessions.put(machine.id(), session);
        }
        return session;
    }

    /** Drops what is kept of a machine that is gone. */
    public void forget(Machine machine) {
        Session session = sessions.remove(machine.id());
        due.remove(session);
        endedOn.values().removeIf(on -> on.remove(session) && on.isEmpty());
    }

    /**
     * Applies what a worker says, as far as it proves anything.
     *
     * @param direct whether it is the answer to an order, and not a report that may be a late copy
     */
    private Presence.Proof apply(Report report, boolean direct) {
        Machine machine = cluster.machine(report.machine());
        if (machine == null) {
            machine = unexpected(report);
            if (machine == null) {
                return Presence.Proof.UNPROVEN;
            }
        }
        Presence presence = machine.presence();
        Presence.Proof proof =
                presence.weigh(report.tenure(), report.counter(), report.token() >= term.number(), direct);
        if (proof == Presence.Proof.VOUCHES) {
            vouched(machine, report);
        } else {
            machine.address(report.address());
            if (!machine.used() || presence.vouched()) {
                // A new worker, or the worker of a machine that came back, or a late copy: it shows by its
                // answer. Those that a former leader has used come by themselves once they know the token.
                contact(machine);
            }
        }
        if (!direct) {
            if (proof != Presence.Proof.OVERTAKEN) {
                presence.answered(kernel.now());
            }
            if (presence.unreachable()) {
                contact(machine);
            }
        }
        return proof;
    }

    private void vouched(Machine machine, Report report) {
        Presence presence = machine.presence();
        Session session = session(machine);
        boolean first = !presence.vouched();
        boolean restarted = !first && report.tenure() > presence.tenure();
        boolean back = machine.released();
        machine.address(report.address());
        presence.heard(report.tenure(), report.counter(), kernel.now());
        machine.present();
        if (restarted) {
            // The lease ran out: the worker has killed and forgotten all that it had before. Perhaps no
            // answer reaches it: it gets nothing new before it has answered an order.
            LOG.info("{} starts session {}", machine.id(), report.tenure());
            session.newTenure();
            explain(machine);
            machine.bookingsCopy().forEach(cluster::release);
            presence.lostTouch(kernel.now());
        }
        machine.reclaimAt(
                report.reclaimInS() == null ? Long.MAX_VALUE : kernel.now() + (long) (report.reclaimInS() * 1000));
        if (session.tells(report.listing()) || back) {
            List<Report.TaskReport> tasks = report.tasks();
            kernel.count("reports.read", 1);
            LOG.debug("{} session {} reports {}", machine.id(), report.tenure(), tasks);
            applyTasks(session, tasks);
        }
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
    private void reborn(Session session, Report report) {
        Machine machine = session.machine;
        LOG.info("{} has a new worker", machine.id());
        Set<Attempt> loose = new HashSet<>(session.loose);
        session.newTenure();
        explain(machine);
        machine.presence().reborn(report.tenure(), report.counter());
        for (Booking booking : machine.bookingsCopy()) {
            if (!booking.loose()) {
                cluster.release(booking);
            }
        }
        session.loose.addAll(loose);
    }

    private void applyTasks(Session session, List<Report.TaskReport> tasks) {
        Machine machine = session.machine;
        Set<Attempt> reported = new HashSet<>();
        session.ended.clear();
        session.strays.clear();
        for (Report.TaskReport task : tasks) {
            Booking booking = machine.booking(task.attempt().task());
            if (booking != null && booking.attempt() != task.attempt().number()) {
                booking = null;
            }
            reported.add(task.attempt());
            if (task.state() == Report.State.ENDED) {
                ended(session, task, booking);
            } else {
                present(session, task, booking);
            }
        }
        explain(machine);
        session.reapable.retainAll(session.ended);
        for (Booking booking : machine.bookingsCopy()) {
            // An attempt that was seen and is gone ended and was removed on a former leader's word.
            if (booking.seen() && !reported.contains(Attempt.of(booking))) {
                cluster.release(booking);
            }
        }
    }

    /** Says whether the open jobs explain all that a machine runs: what is being stopped there still takes room. */
    public void explain(Machine machine) {
        cluster.unexplained(
                machine,
                cluster.machine(machine.id()) == machine
                        && !session(machine).strays.isEmpty());
    }

    /** @param booking the attempt's place on the machine, or null when the book has none */
    private void present(Session session, Report.TaskReport task, Booking booking) {
        Booking.Phase phase =
                switch (task.state()) {
                    case FETCHING -> Booking.Phase.FETCHING;
                    case SAVING -> Booking.Phase.SAVING;
                    default -> Booking.Phase.RUNNING;
                };
        if (booking != null) {
            booking.seen(phase, kernel.now());
            if (booking.stopping()) {
                due.add(session);
            }
            return;
        }
        Attempt attempt = task.attempt();
        Job job = openJob(attempt);
        if (job != null && !job.isDone(attempt.index()) && job.booking(attempt.index()) == null) {
            // The report outranks the book: the task is there, and gets its place back.
            cluster.book(job, attempt.index(), session.machine, attempt.number())
                    .seen(phase, kernel.now());
            return;
        }
        LOG.info("{} on {} has no place there: stopping it", attempt.task(), session.machine.id());
        session.strays.add(attempt);
        due.add(session);
    }

    /** The open job that an attempt is of, or null. */
    private Job openJob(Attempt attempt) {
        Job job = cluster.job(attempt.job());
        return job != null
                        && !job.over()
                        && attempt.index() >= 0
                        && attempt.index() < job.spec().tasks()
                ? job
                : null;
    }

    private void ended(Session session, Report.TaskReport task, Booking booking) {
        Attempt attempt = task.attempt();
        session.ended.add(attempt);
        endedOn.computeIfAbsent(attempt.job(), id -> new HashSet<>()).add(session);
        if (booking != null && booking.loose()) {
            session.loose.add(attempt);
        }
        Job job = openJob(attempt);
        if (job != null && task.cause() == Report.Cause.DONE && !job.spec().service()) {
            session.machine.jobSucceeded();
            session.machine.holdsImage(job.spec().image(), job.spec().imageGb());
            if (!job.isDone(attempt.index())) {
                cluster.markDone(job, attempt.index());
                Booking other = job.booking(attempt.index());
                if (other != null && other != booking) {
                    stop(other, 0);
                }
                listener.finished(job, attempt.index());
            }
            if (job.recorded(attempt.index())) {
                session.reapable.add(attempt);
            }
        } else {
            if (job != null && booking != null) {
                failed(session.machine, job, task.cause());
            }
            session.reapable.add(attempt);
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
    public void recorded(Job job) {
        Set<Session> on = endedOn.get(job.id());
        if (on == null) {
            return;
        }
        on.removeIf(session ->
                session.ended.stream().noneMatch(attempt -> attempt.job().equals(job.id())));
        for (Session session : on) {
            session.ended.stream()
                    .filter(attempt -> attempt.job().equals(job.id()) && (job.over() || job.recorded(attempt.index())))
                    .forEach(session.reapable::add);
        }
        if (on.isEmpty() || job.over()) {
            endedOn.remove(job.id());
        }
    }

    // ---- orders

    /** Has a booking's start sent at the end of this batch. */
    public void start(Booking booking) {
        startsDue(booking.machine());
    }

    /** Has the starts sent that wait on a machine. */
    public void startsDue(Machine machine) {
        due.add(session(machine));
    }

    /** Has the starts sent of a job's tasks that wait for that. */
    public void startsDue(Job job) {
        job.bookings().stream().filter(booking -> !booking.offered()).forEach(this::start);
    }

    /** Has a task stopped: directly at the end of this batch, and in report responses until it has ended. */
    public void stop(Booking booking, double graceS) {
        if (!booking.offered() && !booking.seen()) {
            cluster.release(booking);
            return;
        }
        booking.stop(graceS);
        due.add(session(booking.machine()));
    }

    /** Sends what is due to every worker, one direct order at a time each. */
    public void flush() {
        if (due.isEmpty()) {
            return;
        }
        for (Session session : List.copyOf(due)) {
            if (calls >= mostCalls) {
                return;
            }
            if (session.calling
                    || !session.machine.presence().vouched()
                    || session.machine.presence().unreachable()) {
                continue;
            }
            due.remove(session);
            List<Order> orders = pendingOrders(session, true);
            if (!orders.isEmpty()) {
                send(session, orders);
            }
        }
    }

    /**
     * Asks a machine for its report, which also shows it this leader's token; not more often than it would report by
     * itself, and a part of the machines at a time.
     */
    public void contact(Machine machine) {
        Session session = session(machine);
        if (kernel.now() - session.contactedAt >= times.reportMs()) {
            contact(session);
        }
    }

    private void contact(Session session) {
        if (session.machine.address() != null && !session.calling && calls < mostCalls * CONTACTS) {
            session.contactedAt = kernel.now();
            send(session, List.of());
        }
    }

    private List<Order> pendingOrders(Session session, boolean direct) {
        List<Order> orders = new ArrayList<>();
        for (Attempt attempt : session.reapable) {
            // After a removal a late copy of the start would run the task again.
            if (!session.loose.contains(attempt)) {
                orders.add(new Order.Reap(attempt));
            }
        }
        int removals = orders.size();
        session.strays.forEach(attempt -> orders.add(new Order.Kill(attempt, 0)));
        for (Booking booking : session.machine.bookings()) {
            if (booking.stopping() && booking.loose() && !booking.seen() && !direct) {
                // Makes the attempt known and ended there, so that the copy that may still come has no effect.
                orders.add(new Order.Run(booking));
            }
            if (booking.stopping() && (booking.seen() || booking.loose())) {
                orders.add(new Order.Kill(Attempt.of(booking), booking.stopGraceS()));
            }
        }
        if (term.confirmed()) {
            addStarts(session, orders);
        }
        // Removals alone are in no hurry: they go with the next report's response.
        return direct && orders.size() == removals ? List.of() : orders;
    }

    private void addStarts(Session session, List<Order> orders) {
        boolean record = false;
        for (Booking booking : session.machine.bookings()) {
            if (booking.seen() || booking.stopping() || booking.job().over() || session.inCall.contains(booking)) {
                continue;
            }
            boolean startable = booking.index() < booking.job().startBelow();
            if (!startable) {
                listener.needsRecord(booking.job(), booking.index());
            }
            if (!session.machine.used()) {
                record = true;
            } else if (startable) {
                booking.markOffered();
                orders.add(new Order.Run(booking));
            }
        }
        if (record) {
            listener.needsRecord(session.machine);
        }
    }

    private void send(Session session, List<Order> orders) {
        Machine machine = session.machine;
        ObjectNode body = Json.object()
                .put("baton", term.number())
                .put(
                        "tenure",
                        // A start names the session that is proved: one that names a later session would outlive the
                        // release of
                        // its booking, which a rise of the session brings.
                        orders.isEmpty()
                                ? machine.presence().toldTenure()
                                : machine.presence().tenure());
        ArrayNode list = body.putArray("orders");
        session.calling = true;
        calls++;
        session.tenureAtCall = machine.presence().tenure();
        session.counterAtCall = machine.presence().counter();
        for (Order order : orders) {
            list.add(order.toJson());
            if (order instanceof Order.Run run) {
                session.inCall.add(run.booking());
            }
        }
        LOG.debug("{} is ordered {}", machine.id(), list);
        kernel.count("orders.calls", 1);
        kernel.count("orders.sent", orders.size());
        long timeout = (long) (ORDER_TIMEOUT_REPORTS * times.reportMs());
        kernel.call(Call.post(machine.address(), "/orders", body, timeout), reply -> answered(session, reply));
    }

    private void answered(Session session, Reply reply) {
        Set<Booking> sent = new HashSet<>(session.inCall);
        session.calling = false;
        calls--;
        session.inCall.clear();
        if (!term.current() || cluster.machine(session.machine.id()) != session.machine) {
            return;
        }
        Presence presence = session.machine.presence();
        if (reply.status() != 200 && reply.status() != 409) {
            if (reply.status() == Reply.LOST) {
                sent.forEach(Booking::markLoose);
                presence.lostTouch(kernel.now());
            }
            return;
        }
        Report report = Report.read(reply.body());
        if (report == null) {
            return;
        }
        term.sawToken(report.token());
        if (!term.current() || !booksOpen) {
            return;
        }
        presence.answersOrders();
        if (presence.vouched()
                && !Presence.newer(report.tenure(), report.counter(), session.tenureAtCall, session.counterAtCall)) {
            reborn(session, report);
        }
        presence.told(report.tenure());
        apply(report, true);
        if (reply.status() == 409) {
            // Nothing was executed: after the report it is told again, with the right session.
            due.add(session);
            if (!presence.vouched()) {
                // The contact named no session; this one shows the worker the new token.
                contact(session);
            }
        }
        cluster.touch();
    }
}
