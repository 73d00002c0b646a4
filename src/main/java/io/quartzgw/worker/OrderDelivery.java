package io.quartzgw.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Presence;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends orders straight to workers, one call at a time each.
 *
 * <p>A start that was sent directly and not answered may still be executed minutes later ({@link OutstandingStarts}).
 * Its booking stands: the same attempt is offered again in report responses, and the task goes nowhere else until the
 * machine answers for it, starts a new session, or is surely gone.
 */
final class OrderDelivery {
    private static final Logger LOG = LoggerFactory.getLogger(OrderDelivery.class);
    /** A direct order that takes longer than this part of a report interval is given up. */
    private static final double ORDER_TIMEOUT_REPORTS = 0.8;
    /** The part of the direct calls that may be spent on asking the silent, so that orders always get through. */
    private static final double CONTACTS = 0.5;
    /** The status with which a worker says that it has executed the orders. */
    private static final int EXECUTED = 200;
    /** The status with which it says that it has executed none: the token is too low, or the session another one. */
    private static final int REFUSED = 409;

    private final Kernel kernel;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final TrackedWorkers tracked;
    private final WorkerTimes times;
    private final int mostCalls;
    private final Workers.Listener listener;
    private final BiPredicate<TrackedWorker, Report> answered;
    private int calls;

    /**
     * @param mostCalls how many direct calls may be under way at once
     * @param listener told what has to be recorded before a start
     * @param answered applies the report with which a worker has answered; false when none can be applied yet
     */
    OrderDelivery(
            Kernel kernel,
            LeaderTerm term,
            Cluster cluster,
            TrackedWorkers tracked,
            WorkerTimes times,
            int mostCalls,
            Workers.Listener listener,
            BiPredicate<TrackedWorker, Report> answered) {
        this.kernel = kernel;
        this.term = term;
        this.cluster = cluster;
        this.tracked = tracked;
        this.times = times;
        this.mostCalls = mostCalls;
        this.listener = listener;
        this.answered = answered;
    }

    /** Sends what is due to every worker, one direct order at a time each. */
    void flush() {
        for (TrackedWorker worker : tracked.due()) {
            if (calls >= mostCalls) {
                return;
            }
            if (worker.calling
                    || !worker.machine.presence().verified()
                    || worker.machine.presence().unreachable()) {
                continue;
            }
            tracked.removeDue(worker);
            List<Order> orders = pendingOrders(worker, true);
            if (!orders.isEmpty()) {
                send(worker, orders);
            }
        }
    }

    /**
     * Asks a machine for its report, which also shows it this leader's token; not more often than it would report by
     * itself, and a part of the machines at a time.
     */
    void contact(Machine machine) {
        TrackedWorker worker = tracked.of(machine);
        if (kernel.now() - worker.contactedAt >= times.reportMs()) {
            contact(worker);
        }
    }

    private void contact(TrackedWorker worker) {
        if (worker.machine.address() != null && !worker.calling && calls < mostCalls * CONTACTS) {
            worker.contactedAt = kernel.now();
            send(worker, List.of());
        }
    }

    List<Order> pendingOrders(TrackedWorker worker, boolean direct) {
        List<Order> orders = new ArrayList<>();
        for (Attempt attempt : worker.removable) {
            // After a removal a late copy of the start would run the task again.
            if (worker.starts.mayArrive(attempt)) {
                kernel.count("orders.removals_withheld", 1);
            } else {
                orders.add(new Order.Remove(attempt));
            }
        }
        int removals = orders.size();
        worker.strays.forEach(attempt -> orders.add(new Order.Stop(attempt, 0)));
        for (Booking booking : worker.machine.bookings()) {
            if (booking.stopping()) {
                addStop(worker, booking, direct, orders);
            }
        }
        if (term.confirmed()) {
            addStarts(worker, orders);
        }
        // Removals alone are in no hurry: they go with the next report's response.
        return direct && orders.size() == removals ? List.of() : orders;
    }

    private static void addStop(TrackedWorker worker, Booking booking, boolean direct, List<Order> orders) {
        boolean unanswered = worker.starts.unanswered(Attempt.of(booking));
        if (unanswered && !booking.seen() && !direct) {
            // Makes the attempt known and ended there, so that the copy that may still come has no effect.
            orders.add(new Order.Start(booking));
        }
        if (unanswered || booking.seen()) {
            orders.add(new Order.Stop(Attempt.of(booking), booking.stopGraceS()));
        }
    }

    private void addStarts(TrackedWorker worker, List<Order> orders) {
        boolean record = false;
        for (Booking booking : worker.machine.bookings()) {
            if (booking.seen()
                    || booking.stopping()
                    || booking.job().over()
                    || worker.starts.underWay(Attempt.of(booking))) {
                continue;
            }
            boolean startable = booking.index() < booking.job().startBelow();
            if (!startable) {
                listener.needsRecord(booking.job(), booking.index());
            }
            if (!worker.machine.used()) {
                record = true;
            } else if (startable) {
                booking.markOffered();
                orders.add(new Order.Start(booking));
            }
        }
        if (record) {
            listener.needsRecord(worker.machine);
        }
    }

    private void send(TrackedWorker worker, List<Order> orders) {
        Machine machine = worker.machine;
        Presence presence = machine.presence();
        // A start names the verified session: one that names a later session would outlive the release of its booking,
        // which a rise of the session brings.
        long session = orders.isEmpty() ? presence.toldSession() : presence.session();
        ObjectNode body = Json.object().put("baton", term.number()).put("tenure", session);
        ArrayNode list = body.putArray("orders");
        worker.calling = true;
        calls++;
        worker.sessionAtCall = presence.session();
        worker.counterAtCall = presence.counter();
        orders.forEach(order -> list.add(order.toJson()));
        List<Attempt> starts = Order.starts(orders);
        worker.starts.sentDirectly(starts);
        LOG.atDebug()
                .addKeyValue("machine", machine.id())
                .addKeyValue("channel", "direct")
                .addKeyValue("term", term.number())
                .addKeyValue("confirmed", term.confirmed())
                .addKeyValue("session", session)
                .addKeyValue("orders", list)
                .log("orders are sent");
        kernel.count("orders.calls", 1);
        kernel.count("orders.sent", orders.size());
        long timeout = (long) (ORDER_TIMEOUT_REPORTS * times.reportMs());
        long sentAt = kernel.now();
        kernel.call(Call.post(machine.address(), "/orders", body, timeout), reply -> {
            logOutcome(worker, reply, sentAt, starts);
            answered(worker, reply);
        });
    }

    private void logOutcome(TrackedWorker worker, Reply reply, long sentAt, List<Attempt> starts) {
        LOG.atDebug()
                .addKeyValue("machine", worker.machine.id())
                .addKeyValue("outcome", outcome(reply.status()))
                .addKeyValue("status", reply.status())
                .addKeyValue("took_ms", kernel.now() - sentAt)
                .addKeyValue("term_current", term.current())
                .addKeyValue("starts", starts)
                .log("direct orders have ended");
    }

    private static String outcome(int status) {
        return switch (status) {
            case EXECUTED -> "executed";
            case REFUSED -> "refused";
            default -> "unknown";
        };
    }

    private void answered(TrackedWorker worker, Reply reply) {
        worker.calling = false;
        calls--;
        boolean settled = reply.status() == EXECUTED || reply.status() == REFUSED;
        if (settled) {
            worker.starts.callAnswered();
        } else {
            worker.starts.callUnanswered();
        }
        if (!term.current() || cluster.machine(worker.machine.id()) != worker.machine) {
            return;
        }
        Presence presence = worker.machine.presence();
        if (!settled) {
            if (reply.status() == Reply.LOST) {
                kernel.count("orders.unanswered", 1);
                presence.lostTouch(kernel.now());
            }
            return;
        }
        Report report = Report.read(reply.body());
        if (report == null) {
            return;
        }
        term.sawToken(report.token());
        if (!term.current() || !answered.test(worker, report)) {
            return;
        }
        if (reply.status() == REFUSED) {
            // Nothing was executed: after the report it is told again, with the right session.
            tracked.addDue(worker);
            if (!presence.verified()) {
                // The contact named no session; this one shows the worker the new token.
                contact(worker);
            }
        }
        cluster.touch();
    }
}
