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
 * Sends pending commands to agents in direct calls, at most one call at a time to each agent.
 *
 * <p>A start in an unanswered call may still be executed minutes later ({@link OutstandingStarts}). Its allocation
 * remains: the start of the same attempt is resent in heartbeat responses, and the task is not placed on another
 * machine while its machine exists.
 */
final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);

    /** Timeout of a direct call, as a fraction of the heartbeat interval. */
    private static final double TIMEOUT_HEARTBEAT_FRACTION = 0.8;
    /** Calls that only request a heartbeat may use this fraction of the direct calls; the rest is left to commands. */
    private static final double MAX_CONTACT_CALL_FRACTION = 0.5;

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

    /** Receives the heartbeats with which agents reply to direct calls. */
    interface ReplyHandler {
        /** Applies a heartbeat and returns true; returns false if the leader cannot apply heartbeats yet. */
        boolean onReply(AgentState agent, Heartbeat heartbeat);
    }

    /** @param maxCalls maximum number of direct calls in flight */
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

    /** Sends the pending commands of the agents to which a direct call can be sent now. */
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
     * Requests a heartbeat from an agent in a direct call, which also shows the agent this leader's token. An agent
     * receives at most one such request per heartbeat interval, and only a fraction of the direct calls may be
     * requests.
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
        // The process may be paused before the call is sent; the term may no longer be confirmed by then.
        long validUntilMs = starts.isEmpty() ? Effect.ALWAYS_VALID : term.confirmedUntilMs();
        eventLoop.call(call, validUntilMs, reply -> {
            logReply(machine, reply, sentAtMs, starts);
            onReply(agent, reply, starts);
        });
    }

    /**
     * Returns the epoch that a call carries. With commands it is the verified epoch: a start with a later epoch could
     * be executed after its allocation was released, which happens when the epoch changes.
     */
    private static long epochFor(Machine machine, List<AgentCommand> commands) {
        AgentLiveness liveness = machine.liveness();
        return commands.isEmpty() ? liveness.latestObservedEpoch() : liveness.epoch();
    }

    private void onReply(AgentState agent, Reply reply, List<Attempt> starts) {
        CallOutcome outcome = CallOutcome.of(reply);
        agent.directCallEnded(outcome);
        callsInFlight--;
        Machine machine = agent.machine();
        if (!term.isCurrent() || !leader.cluster().contains(machine)) {
            return;
        }
        if (outcome == CallOutcome.UNKNOWN && !starts.isEmpty()) {
            raiseToken(agent, starts);
        }
        if (outcome.isAnswered()) {
            boolean rejected = outcome == CallOutcome.REJECTED;
            HeartbeatCodec.decode(reply.body()).ifPresent(heartbeat -> onHeartbeatReply(agent, heartbeat, rejected));
        } else if (reply.status() == Reply.NO_RESPONSE) {
            eventLoop.increment(reply.sent() ? "orders.unanswered" : "orders.unsent", 1);
            machine.liveness().markUnreachable(eventLoop.nowMs());
        }
        if (!starts.isEmpty()) {
            startLogUpdater.updateStarts(agent);
        }
    }

    /** Raises the token, so that the agent rejects the unanswered call once it has received the new token. */
    private void raiseToken(AgentState agent, List<Attempt> starts) {
        agent.token().raise(AgentToken.RaiseReason.UNANSWERED_CALL, eventLoop.nowMs());
        eventLoop.increment("fencing.tokens_raised", 1);
        LOG.atInfo()
                .addKeyValue("machine", agent.machine().id())
                .addKeyValue("epoch", agent.machine().liveness().epoch())
                .addKeyValue("attempts", starts)
                .addKeyValue("token", agent.token().current())
                .log("direct call with starts unanswered");
    }

    private void onHeartbeatReply(AgentState agent, Heartbeat heartbeat, boolean rejected) {
        term.observeToken(heartbeat.fencingToken());
        if (!term.isCurrent() || !replyHandler.onReply(agent, heartbeat)) {
            return;
        }
        if (rejected) {
            // The commands are resent with the epoch of this heartbeat.
            registry.addPending(agent);
            if (!agent.machine().liveness().verified()) {
                // The rejected call carried a wrong epoch; the next one carries the right epoch and the new token.
                contactNow(agent);
            }
        }
        leader.cluster().markChanged();
    }

    private void logReply(Machine machine, Reply reply, long sentAtMs, List<Attempt> starts) {
        LOG.atDebug()
                .addKeyValue("machine", machine.id())
                .addKeyValue("outcome", CallOutcome.of(reply).logName())
                .addKeyValue("status", reply.status())
                .addKeyValue("duration_ms", eventLoop.nowMs() - sentAtMs)
                .addKeyValue("term_current", term.isCurrent())
                .addKeyValue("starts", starts)
                .log("direct call ended");
    }
}
