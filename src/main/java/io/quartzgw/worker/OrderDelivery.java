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
    private final Sessions sessions;
    private final WorkerTimes times;
    private final int mostCalls;
    private final Workers.Listener listener;
    private final BiPredicate<Session, Report> answered;
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
            Sessions sessions,
            WorkerTimes times,
            int mostCalls,
            Workers.Listener listener,
            BiPredicate<Session, Report> answered) {
        this.kernel = kernel;
        this.term = term;
        this.cluster = cluster;
        this.sessions = sessions;
        this.times = times;
        this.mostCalls = mostCalls;
        this.listener = listener;
        this.answered = answered;
    }

    /** Sends what is due to every worker, one direct order at a time each. */
    void flush() {
        for (Session session : sessions.due()) {
            if (calls >= mostCalls) {
                return;
            }
            if (session.calling
                    || !session.machine.presence().verified()
                    || session.machine.presence().unreachable()) {
                continue;
            }
            sessions.removeDue(session);
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
    void contact(Machine machine) {
        Session session = sessions.of(machine);
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

    List<Order> pendingOrders(Session session, boolean direct) {
        List<Order> orders = new ArrayList<>();
        for (Attempt attempt : session.reapable) {
            // After a removal a late copy of the start would run the task again.
            if (session.starts.mayArrive(attempt)) {
                kernel.count("orders.removals_withheld", 1);
            } else {
                orders.add(new Order.Reap(attempt));
            }
        }
        int removals = orders.size();
        session.strays.forEach(attempt -> orders.add(new Order.Kill(attempt, 0)));
        for (Booking booking : session.machine.bookings()) {
            if (booking.stopping()) {
                addStop(session, booking, direct, orders);
            }
        }
        if (term.confirmed()) {
            addStarts(session, orders);
        }
        // Removals alone are in no hurry: they go with the next report's response.
        return direct && orders.size() == removals ? List.of() : orders;
    }

    private static void addStop(Session session, Booking booking, boolean direct, List<Order> orders) {
        boolean unanswered = session.starts.unanswered(Attempt.of(booking));
        if (unanswered && !booking.seen() && !direct) {
            // Makes the attempt known and ended there, so that the copy that may still come has no effect.
            orders.add(new Order.Run(booking));
        }
        if (unanswered || booking.seen()) {
            orders.add(new Order.Kill(Attempt.of(booking), booking.stopGraceS()));
        }
    }

    private void addStarts(Session session, List<Order> orders) {
        boolean record = false;
        for (Booking booking : session.machine.bookings()) {
            if (booking.seen()
                    || booking.stopping()
                    || booking.job().over()
                    || session.starts.underWay(Attempt.of(booking))) {
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
        Presence presence = machine.presence();
        // A start names the verified session: one that names a later session would outlive the release of its booking,
        // which a rise of the session brings.
        long tenure = orders.isEmpty() ? presence.toldTenure() : presence.tenure();
        ObjectNode body = Json.object().put("baton", term.number()).put("tenure", tenure);
        ArrayNode list = body.putArray("orders");
        session.calling = true;
        calls++;
        session.tenureAtCall = presence.tenure();
        session.counterAtCall = presence.counter();
        orders.forEach(order -> list.add(order.toJson()));
        List<Attempt> starts = Order.starts(orders);
        session.starts.sentDirectly(starts);
        LOG.atDebug()
                .addKeyValue("machine", machine.id())
                .addKeyValue("channel", "direct")
                .addKeyValue("term", term.number())
                .addKeyValue("confirmed", term.confirmed())
                .addKeyValue("session", tenure)
                .addKeyValue("orders", list)
                .log("orders are sent");
        kernel.count("orders.calls", 1);
        kernel.count("orders.sent", orders.size());
        long timeout = (long) (ORDER_TIMEOUT_REPORTS * times.reportMs());
        long sentAt = kernel.now();
        kernel.call(Call.post(machine.address(), "/orders", body, timeout), reply -> {
            logOutcome(session, reply, sentAt, starts);
            answered(session, reply);
        });
    }

    private void logOutcome(Session session, Reply reply, long sentAt, List<Attempt> starts) {
        LOG.atDebug()
                .addKeyValue("machine", session.machine.id())
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

    private void answered(Session session, Reply reply) {
        session.calling = false;
        calls--;
        boolean settled = reply.status() == EXECUTED || reply.status() == REFUSED;
        if (settled) {
            session.starts.callAnswered();
        } else {
            session.starts.callUnanswered();
        }
        if (!term.current() || cluster.machine(session.machine.id()) != session.machine) {
            return;
        }
        Presence presence = session.machine.presence();
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
        if (!term.current() || !answered.test(session, report)) {
            return;
        }
        if (reply.status() == REFUSED) {
            // Nothing was executed: after the report it is told again, with the right session.
            sessions.addDue(session);
            if (!presence.verified()) {
                // The contact named no session; this one shows the worker the new token.
                contact(session);
            }
        }
        cluster.touch();
    }
}
