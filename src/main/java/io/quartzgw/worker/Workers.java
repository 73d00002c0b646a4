package io.quartzgw.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.fleet.MachineType;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies workers' reports to the book and sends them orders, for one term of this node.
 *
 * <p>A start that was sent directly and not answered may still be executed minutes later. Its booking
 * stands: the same attempt is offered again in report responses, and the task goes nowhere else until
 * the machine answers for it, starts a new session, or is surely gone.
 */
public final class Workers {
    private static final Logger LOG = LoggerFactory.getLogger(Workers.class);
    /** A direct order that takes longer than this part of a report interval is given up. */
    private static final double ORDER_TIMEOUT_REPORTS = 0.8;
    private static final double ERROR_PAUSE_REPORTS = 0.4;
    private static final double REFUSED_PAUSE_REPORTS = 0.2;

    private final Kernel kernel;
    private final Leadership leadership;
    private final Cluster cluster;
    private final MachineTypes types;
    private final WorkerTimes times;
    private final long term;
    private final Listener listener;
    private final Map<String, Session> sessions = new HashMap<>();
    private final Map<String, Report> early = new HashMap<>();
    private boolean booksOpen;

    /** What the rest of the leader wants to know of. */
    public interface Listener {
        /** A task has completed; its finish has to be recorded before the worker may forget it. */
        void finished(Job job, int index);

        /** A machine has to be marked as used before its first start. */
        void needsRecord(Machine machine);
    }

    public Workers(Kernel kernel, Leadership leadership, Cluster cluster, MachineTypes types, WorkerTimes times,
            Listener listener) {
        this.kernel = kernel;
        this.leadership = leadership;
        this.cluster = cluster;
        this.types = types;
        this.times = times;
        this.term = leadership.term();
        this.listener = listener;
    }

    // ---- reports

    /** Answers a report and returns the response's body; the lease goes on. */
    public ObjectNode report(JsonNode body) {
        Report report = Report.read(body);
        ObjectNode response = Json.object().put("baton", term);
        ArrayNode orders = response.putArray("orders");
        if (report == null) {
            return response;
        }
        if (!booksOpen) {
            // Hard state is still being read: keep the newest word of each machine for then.
            early.merge(report.machine(), report, (old, now) -> newer(now, old) ? now : old);
            return response;
        }
        Machine machine = apply(report);
        if (machine != null) {
            machine.answeredAt(kernel.now());
            pendingOrders(session(machine), false).forEach(order -> orders.add(order.toJson()));
        }
        return response;
    }

    private static boolean newer(Report report, Report than) {
        return report.tenure() > than.tenure()
                || report.tenure() == than.tenure() && report.counter() > than.counter();
    }

    /** Hard state has been read: reports change the book from now on. */
    public void openBooks() {
        booksOpen = true;
        for (Report report : early.values()) {
            Machine machine = apply(report);
            if (machine != null) {
                machine.answeredAt(kernel.now());
            }
        }
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
        sessions.remove(machine.id());
    }

    private Machine apply(Report report) {
        Machine machine = cluster.machine(report.machine());
        if (machine == null) {
            machine = unexpected(report);
            if (machine == null) {
                return null;
            }
        }
        // A report may be held up and delivered late: its list is as old as itself.
        if (!machine.newer(report.tenure(), report.counter())) {
            return machine;
        }
        machine.address(Endpoint.parse(report.address()));
        Session session = session(machine);
        boolean first = machine.counter() < 0;
        boolean restarted = !first && report.tenure() > machine.tenure();
        machine.heard(report.tenure(), report.counter());
        machine.up();
        LOG.debug("{} session {} reports {}", machine.id(), report.tenure(), report.tasks());
        if (restarted) {
            // The lease ran out: the worker has killed and forgotten all that it had before.
            LOG.info("{} starts session {}", machine.id(), report.tenure());
            session.newTenure();
            machine.bookingsCopy().forEach(cluster::release);
        }
        machine.reclaimAt(report.reclaimInS() == null ? Long.MAX_VALUE
                : kernel.now() + (long) (report.reclaimInS() * 1000));
        applyTasks(session, report.tasks());
        if (first || restarted) {
            cluster.touch();
        }
        return machine;
    }

    private Machine unexpected(Report report) {
        MachineType type = types.get(report.machineType());
        if (type == null || cluster.gone(report.machine())) {
            return null;
        }
        Machine machine = new Machine(report.machine(), type, report.zone(), report.spot(), kernel.now(), kernel.now());
        cluster.add(machine);
        return machine;
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
        session.reapable.retainAll(session.ended);
        for (Booking booking : machine.bookingsCopy()) {
            // An attempt that was seen and is gone ended and was removed on a former leader's word.
            if (booking.seen() && !reported.contains(Attempt.of(booking))) {
                cluster.release(booking);
            }
        }
    }

    /** @param booking the attempt's place on the machine, or null when the book has none */
    private void present(Session session, Report.TaskReport task, Booking booking) {
        Booking.Phase phase = switch (task.state()) {
            case FETCHING -> Booking.Phase.FETCHING;
            case SAVING -> Booking.Phase.SAVING;
            default -> Booking.Phase.RUNNING;
        };
        if (booking != null) {
            booking.seen(phase, kernel.now());
            if (booking.stopping()) {
                session.ordersDue = true;
            }
            return;
        }
        Attempt attempt = task.attempt();
        Job job = openJob(attempt);
        if (job != null && !job.isDone(attempt.index()) && job.booking(attempt.index()) == null) {
            // The report outranks the book: the task is there, and gets its place back.
            cluster.book(job, attempt.index(), session.machine, attempt.number()).seen(phase, kernel.now());
            return;
        }
        LOG.info("{} on {} has no place there: stopping it", attempt.task(), session.machine.id());
        session.strays.add(attempt);
        session.ordersDue = true;
    }

    /** The open job that an attempt is of, or null. */
    private Job openJob(Attempt attempt) {
        Job job = cluster.job(attempt.job());
        return job != null && !job.over() && attempt.index() < job.spec().tasks() ? job : null;
    }

    private void ended(Session session, Report.TaskReport task, Booking booking) {
        Attempt attempt = task.attempt();
        session.ended.add(attempt);
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
        for (Session session : sessions.values()) {
            session.ended.stream().filter(attempt -> attempt.job().equals(job.id())
                    && (job.over() || job.recorded(attempt.index()))).forEach(session.reapable::add);
        }
    }

    // ---- orders

    /** Has a booking's start sent at the end of this batch. */
    public void start(Booking booking) {
        startsDue(booking.machine());
    }

    /** Has the starts sent that wait on a machine. */
    public void startsDue(Machine machine) {
        session(machine).ordersDue = true;
    }

    /** Has a task stopped: directly at the end of this batch, and in report responses until it has ended. */
    public void stop(Booking booking, double graceS) {
        if (!booking.offered() && !booking.seen()) {
            cluster.release(booking);
            return;
        }
        booking.stop(graceS);
        session(booking.machine()).ordersDue = true;
    }

    /** Sends what is due to every worker, one direct order at a time each. */
    public void flush() {
        for (Session session : List.copyOf(sessions.values())) {
            if (session.ordersDue && !session.calling && session.machine.counter() >= 0
                    && !session.machine.unresponsive()) {
                session.ordersDue = false;
                List<Order> orders = pendingOrders(session, true);
                if (!orders.isEmpty()) {
                    send(session, orders);
                }
            }
        }
    }

    /** Asks a machine for its report, which also shows it this leader's token. */
    public void contact(Machine machine) {
        Session session = session(machine);
        if (machine.address() != null && !session.calling) {
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
        if (leadership.confirmed()) {
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
            if (session.machine.used()) {
                booking.markOffered();
                orders.add(new Order.Run(booking));
            } else {
                record = true;
            }
        }
        if (record) {
            listener.needsRecord(session.machine);
        }
    }

    private void send(Session session, List<Order> orders) {
        Machine machine = session.machine;
        ObjectNode body = Json.object().put("baton", term).put("tenure", machine.tenure());
        ArrayNode list = body.putArray("orders");
        session.calling = true;
        for (Order order : orders) {
            list.add(order.toJson());
            if (order instanceof Order.Run run) {
                session.inCall.add(run.booking());
            }
        }
        LOG.debug("{} is ordered {}", machine.id(), list);
        long timeout = (long) (ORDER_TIMEOUT_REPORTS * times.reportMs());
        kernel.call(Call.post(machine.address(), "/orders", body, timeout), reply -> answered(session, reply));
    }

    private void answered(Session session, Reply reply) {
        Set<Booking> sent = new HashSet<>(session.inCall);
        session.calling = false;
        session.inCall.clear();
        if (!leadership.leading() || leadership.term() != term || cluster.machine(session.machine.id()) != session.machine) {
            return;
        }
        if (reply.status() != 200 && reply.status() != 409) {
            if (reply.status() == Reply.LOST) {
                sent.forEach(Booking::markLoose);
                session.machine.markUnresponsive();
            }
            return;
        }
        Report report = Report.read(reply.json());
        if (report == null) {
            return;
        }
        leadership.sawTerm(report.token());
        if (!leadership.leading() || !booksOpen) {
            return;
        }
        boolean stranger = session.machine.counter() < 0;
        apply(report);
        if (reply.status() == 409) {
            // Nothing was executed: after the report it is told again, with the right session.
            session.ordersDue = true;
            if (stranger) {
                // The contact named no session; this one shows the worker the new token.
                contact(session.machine);
            }
        }
    }
}
