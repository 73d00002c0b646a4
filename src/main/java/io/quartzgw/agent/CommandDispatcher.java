package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);
    /** A direct order that takes longer than this part of a report interval is given up. */
    private static final double TIMEOUT_HEARTBEATS = 0.8;
    /** The part of the direct calls that may be spent on asking the silent, so that orders always get through. */
    private static final double MAX_CONTACT_FRACTION = 0.5;
    /** The status with which a worker says that it has executed the orders. */
    private static final int EXECUTED = 200;
    /** The status with which it says that it has executed none: the token is too low, or the session another one. */
    private static final int REJECTED = 409;

    private final EventLoop kernel;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final AgentTiming times;
    private final int maxCalls;
    private final AgentManager.Listener listener;
    private final BiPredicate<AgentState, Heartbeat> onReply;
    private int callsInFlight;

    /**
     * @param maxCalls how many direct calls may be under way at once
     * @param listener told what has to be recorded before a start
     * @param onReply applies the report with which a worker has answered; false when none can be applied yet
     */
    CommandDispatcher(
            EventLoop kernel,
            LeaderTerm term,
            ClusterState cluster,
            AgentRegistry tracked,
            AgentTiming times,
            int mostCalls,
            AgentManager.Listener listener,
            BiPredicate<AgentState, Heartbeat> answered) {
        this.kernel = kernel;
        this.term = term;
        this.cluster = cluster;
        this.registry = tracked;
        this.times = times;
        this.maxCalls = mostCalls;
        this.listener = listener;
        this.onReply = answered;
    }

    /** Sends what is due to every worker, one direct order at a time each. */
    void sendPending() {
        for (AgentState worker : registry.withPendingCommands()) {
            if (callsInFlight >= maxCalls) {
                return;
            }
            if (worker.callInFlight
                    || !worker.machine.liveness().verified()
                    || worker.machine.liveness().unreachable()) {
                continue;
            }
            registry.removePending(worker);
            List<AgentCommand> orders = pendingCommands(worker, true);
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
        AgentState worker = registry.agentOf(machine);
        if (kernel.nowMs() - worker.contactedAt >= times.heartbeatMs()) {
            contact(worker);
        }
    }

    private void contact(AgentState worker) {
        if (worker.machine.address() != null
                && !worker.callInFlight
                && callsInFlight < maxCalls * MAX_CONTACT_FRACTION) {
            worker.contactedAt = kernel.nowMs();
            send(worker, List.of());
        }
    }

    List<AgentCommand> pendingCommands(AgentState worker, boolean direct) {
        List<AgentCommand> orders = new ArrayList<>();
        for (Attempt attempt : worker.removable) {
            // After a removal a late copy of the start would run the task again.
            if (worker.outstandingStarts.mayArrive(attempt)) {
                kernel.increment("orders.removals_withheld", 1);
            } else {
                orders.add(new AgentCommand.Remove(attempt));
            }
        }
        int removals = orders.size();
        worker.orphans.forEach(attempt -> orders.add(AgentCommand.Stop.immediately(attempt)));
        for (Allocation booking : worker.machine.allocations()) {
            if (booking.stopping()) {
                addStop(worker, booking, direct, orders);
            }
        }
        if (term.isConfirmed()) {
            addStarts(worker, orders);
        }
        // Removals alone are in no hurry: they go with the next report's response.
        return direct && orders.size() == removals ? List.of() : orders;
    }

    private static void addStop(AgentState worker, Allocation booking, boolean direct, List<AgentCommand> orders) {
        boolean unanswered = worker.outstandingStarts.unanswered(Attempt.of(booking));
        if (unanswered && !booking.observed() && !direct) {
            // Makes the attempt known and ended there, so that the copy that may still come has no effect.
            orders.add(new AgentCommand.Start(Attempt.of(booking)));
        }
        if (unanswered || booking.observed()) {
            orders.add(new AgentCommand.Stop(Attempt.of(booking), booking.stopGraceS()));
        }
    }

    private void addStarts(AgentState worker, List<AgentCommand> orders) {
        boolean needsMark = false;
        for (Allocation booking : worker.machine.allocations()) {
            if (booking.observed()
                    || booking.stopping()
                    || booking.job().isTerminal()
                    || worker.outstandingStarts.inFlight(Attempt.of(booking))) {
                continue;
            }
            boolean startable = booking.index() < booking.job().recordedStartLimit();
            if (!startable) {
                listener.recordNeeded(booking.job(), booking.index());
            }
            if (!worker.machine.hasRunTasks()) {
                needsMark = true;
            } else if (startable) {
                booking.markStartSent();
                orders.add(new AgentCommand.Start(Attempt.of(booking)));
            }
        }
        if (needsMark) {
            listener.recordNeeded(worker.machine);
        }
    }

    private void send(AgentState worker, List<AgentCommand> orders) {
        Machine machine = worker.machine;
        AgentLiveness presence = machine.liveness();
        // A start names the verified session: one that names a later session would outlive the release of its booking,
        // which a rise of the session brings.
        long epoch = orders.isEmpty() ? presence.latestObservedEpoch() : presence.epoch();
        CommandRequest request = new CommandRequest(term.fencingToken(), epoch, orders);
        worker.callInFlight = true;
        callsInFlight++;
        worker.epochAtCall = presence.epoch();
        worker.sequenceAtCall = presence.sequence();
        List<Attempt> starts = AgentCommand.startedAttempts(orders);
        worker.outstandingStarts.sentDirectly(starts);
        LOG.atDebug()
                .addKeyValue("machine", machine.id())
                .addKeyValue("channel", "direct")
                .addKeyValue("term", term.fencingToken())
                .addKeyValue("confirmed", term.isConfirmed())
                .addKeyValue("session", epoch)
                .addKeyValue("orders", orders)
                .log("orders are sent");
        kernel.increment("orders.calls", 1);
        kernel.increment("orders.sent", orders.size());
        long timeout = (long) (TIMEOUT_HEARTBEATS * times.heartbeatMs());
        long sentAt = kernel.nowMs();
        kernel.call(Call.post(machine.address(), "/orders", AgentCommandCodec.encode(request), timeout), reply -> {
            logOutcome(worker, reply, sentAt, starts);
            onReply(worker, reply);
        });
    }

    private void logOutcome(AgentState worker, Reply reply, long sentAt, List<Attempt> starts) {
        LOG.atDebug()
                .addKeyValue("machine", worker.machine.id())
                .addKeyValue("outcome", outcome(reply.status()))
                .addKeyValue("status", reply.status())
                .addKeyValue("took_ms", kernel.nowMs() - sentAt)
                .addKeyValue("term_current", term.isCurrent())
                .addKeyValue("starts", starts)
                .log("direct orders have ended");
    }

    private static String outcome(int status) {
        return switch (status) {
            case EXECUTED -> "executed";
            case REJECTED -> "refused";
            default -> "unknown";
        };
    }

    private void onReply(AgentState worker, Reply reply) {
        worker.callInFlight = false;
        callsInFlight--;
        boolean settled = reply.status() == EXECUTED || reply.status() == REJECTED;
        if (settled) {
            worker.outstandingStarts.callAnswered();
        } else {
            worker.outstandingStarts.callUnanswered();
        }
        if (!term.isCurrent() || cluster.machine(worker.machine.id()) != worker.machine) {
            return;
        }
        AgentLiveness presence = worker.machine.liveness();
        if (!settled) {
            if (reply.status() == Reply.LOST) {
                kernel.increment("orders.unanswered", 1);
                presence.markUnreachable(kernel.nowMs());
            }
            return;
        }
        Optional<Heartbeat> answer = HeartbeatCodec.decode(reply.body());
        if (answer.isEmpty()) {
            return;
        }
        Heartbeat report = answer.get();
        term.observeToken(report.fencingToken());
        if (!term.isCurrent() || !onReply.test(worker, report)) {
            return;
        }
        if (reply.status() == REJECTED) {
            // Nothing was executed: after the report it is told again, with the right session.
            registry.addPending(worker);
            if (!presence.verified()) {
                // The contact named no session; this one shows the worker the new token.
                contact(worker);
            }
        }
        cluster.markChanged();
    }
}
