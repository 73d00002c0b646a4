package io.quartzgw.agent;

import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Machine;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends pending commands in direct calls to agents, one call at a time to each.
 *
 * <p>A start in a call without an answer may still be executed minutes later ({@link OutstandingStarts}). Its
 * allocation remains: the same attempt is sent again in responses to heartbeats, and the task is placed nowhere else
 * while its machine exists.
 */
final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);

    /** A direct call times out after this fraction of a heartbeat interval. */
    private static final double TIMEOUT_HEARTBEAT_FRACTION = 0.8;
    /** The fraction of the direct calls that may ask for heartbeats, so that commands can always be sent. */
    private static final double MAX_CONTACT_CALL_FRACTION = 0.5;
    /** The agent has executed the commands. */
    private static final int STATUS_EXECUTED = 200;
    /** The agent has executed no command: the token is too low, or the epoch is another one. */
    private static final int STATUS_REJECTED = 409;

    private final LeaderContext leader;
    private final EventLoop eventLoop;
    private final LeaderTerm term;
    private final AgentRegistry registry;
    private final PendingCommands pendingCommands;
    private final StartLogUpdater startLogUpdater;
    private final AgentTiming timing;
    private final int maxCalls;
    private final ReplyHandler replyHandler;
    private int callsInFlight;

    /** Takes the heartbeats with which agents reply to direct calls. */
    interface ReplyHandler {
        /** Applies a heartbeat and returns true, or returns false if the leader can't apply heartbeats yet. */
        boolean onReply(AgentState agent, Heartbeat heartbeat);
    }

    /** @param maxCalls how many direct calls may be in flight at once */
    CommandDispatcher(
            LeaderContext leader,
            AgentRegistry registry,
            PendingCommands pendingCommands,
            StartLogUpdater startLogUpdater,
            AgentTiming timing,
            int maxCalls,
            ReplyHandler replyHandler) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.term = leader.term();
        this.registry = registry;
        this.pendingCommands = pendingCommands;
        this.startLogUpdater = startLogUpdater;
        this.timing = timing;
        this.maxCalls = maxCalls;
        this.replyHandler = replyHandler;
    }

    /** Sends the pending commands of the agents that can take a direct call now. */
    void sendPending() {
        for (AgentState agent : registry.withPendingCommands()) {
            if (callsInFlight >= maxCalls) {
                return;
            }
            if (!canSendCommands(agent)) {
                continue;
            }
            registry.removePending(agent);
            startLogUpdater.updateStarts(agent);
            List<AgentCommand> commands = pendingCommands.forDirectCall(agent);
            if (!commands.isEmpty()) {
                send(agent, commands);
            }
        }
    }

    private static boolean canSendCommands(AgentState agent) {
        AgentLiveness liveness = agent.machine().liveness();
        return !agent.callInFlight() && liveness.verified() && !liveness.unreachable();
    }

    /**
     * Asks an agent for a heartbeat, which also shows it this leader's token. An agent is not asked more often than it
     * sends heartbeats by itself, and only a fraction of the agents at a time.
     */
    void contact(Machine machine) {
        AgentState agent = registry.agentOf(machine);
        if (agent.msSinceContact(eventLoop.nowMs()) >= timing.heartbeatMs()) {
            contactNow(agent);
        }
    }

    private void contactNow(AgentState agent) {
        if (agent.machine().address() != null
                && !agent.callInFlight()
                && callsInFlight < maxCalls * MAX_CONTACT_CALL_FRACTION) {
            agent.recordContact(eventLoop.nowMs());
            send(agent, List.of());
        }
    }

    private void send(AgentState agent, List<AgentCommand> commands) {
        Machine machine = agent.machine();
        CommandFence fence = new CommandFence(agent.token().current(), epochFor(machine, commands));
        CommandRequest request = new CommandRequest(fence, commands);
        List<Attempt> starts = AgentCommand.startedAttempts(commands);
        agent.directCallSent(starts, fence, eventLoop.nowMs());
        callsInFlight++;
        CommandLog.sentDirectly(machine.id(), term, request);
        eventLoop.increment("orders.calls", 1);
        eventLoop.increment("orders.sent", commands.size());
        long timeoutMs = (long) (TIMEOUT_HEARTBEAT_FRACTION * timing.heartbeatMs());
        long sentAtMs = eventLoop.nowMs();
        Call call = Call.post(machine.address(), AgentCommandCodec.PATH, AgentCommandCodec.encode(request), timeoutMs);
        // The process may be paused before the call leaves.
        long validUntilMs = starts.isEmpty() ? Effect.ALWAYS_VALID : term.confirmedUntilMs();
        eventLoop.call(call, validUntilMs, reply -> {
            logReply(machine, reply, sentAtMs, starts);
            onReply(agent, reply, starts);
        });
    }

    /**
     * Returns the epoch that a call names. For commands it is the verified one: a start that names a later epoch would
     * outlive its allocation, which is released when the epoch changes.
     */
    private static long epochFor(Machine machine, List<AgentCommand> commands) {
        AgentLiveness liveness = machine.liveness();
        return commands.isEmpty() ? liveness.latestObservedEpoch() : liveness.epoch();
    }

    private void onReply(AgentState agent, Reply reply, List<Attempt> starts) {
        boolean answered = reply.status() == STATUS_EXECUTED || reply.status() == STATUS_REJECTED;
        boolean settled = answered || !reply.sent();
        agent.directCallEnded(settled);
        callsInFlight--;
        Machine machine = agent.machine();
        if (!term.isCurrent() || !leader.cluster().contains(machine)) {
            return;
        }
        if (!settled && !starts.isEmpty()) {
            raiseToken(agent, starts);
        }
        if (answered) {
            boolean rejected = reply.status() == STATUS_REJECTED;
            HeartbeatCodec.decode(reply.body()).ifPresent(heartbeat -> onHeartbeatReply(agent, heartbeat, rejected));
        } else if (reply.status() == Reply.LOST) {
            eventLoop.increment(reply.sent() ? "orders.unanswered" : "orders.unsent", 1);
            machine.liveness().markUnreachable(eventLoop.nowMs());
        }
        if (!starts.isEmpty()) {
            startLogUpdater.updateStarts(agent);
        }
    }

    /** Makes the agent reject a call without an answer from the next message on that reaches it. */
    private void raiseToken(AgentState agent, List<Attempt> starts) {
        agent.token().raise(eventLoop.nowMs());
        eventLoop.increment("fencing.tokens_raised", 1);
        LOG.atInfo()
                .addKeyValue("machine", agent.machine().id())
                .addKeyValue("epoch", agent.machine().liveness().epoch())
                .addKeyValue("attempts", starts)
                .addKeyValue("token", agent.token().current())
                .log("start unanswered");
    }

    private void onHeartbeatReply(AgentState agent, Heartbeat heartbeat, boolean rejected) {
        term.observeToken(heartbeat.fencingToken());
        if (!term.isCurrent() || !replyHandler.onReply(agent, heartbeat)) {
            return;
        }
        if (rejected) {
            // The commands are sent again with the epoch that the heartbeat has shown.
            registry.addPending(agent);
            if (!agent.machine().liveness().verified()) {
                // The call named the wrong epoch; the next one names the right one and shows the agent the new token.
                contactNow(agent);
            }
        }
        leader.cluster().markChanged();
    }

    private void logReply(Machine machine, Reply reply, long sentAtMs, List<Attempt> starts) {
        LOG.atDebug()
                .addKeyValue("machine", machine.id())
                .addKeyValue("outcome", outcome(reply))
                .addKeyValue("status", reply.status())
                .addKeyValue("duration_ms", eventLoop.nowMs() - sentAtMs)
                .addKeyValue("term_current", term.isCurrent())
                .addKeyValue("starts", starts)
                .log("direct call ended");
    }

    private static String outcome(Reply reply) {
        if (!reply.sent()) {
            return "unsent";
        }
        return switch (reply.status()) {
            case STATUS_EXECUTED -> "executed";
            case STATUS_REJECTED -> "rejected";
            default -> "unknown";
        };
    }
}
