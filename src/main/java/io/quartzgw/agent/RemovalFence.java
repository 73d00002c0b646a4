package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.Attempt;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises an agent's token before the removal of attempts that direct calls have started. After the removal the agent
 * does not know the attempts any more, and only the higher token keeps it from starting them again if such a call
 * arrives once more.
 *
 * <p>The token is raised only with the response to a heartbeat, which carries the removals too. A raise between a
 * heartbeat and its response would make the agent drop the response, which renews its lease.
 */
final class RemovalFence {
    private static final Logger LOG = LoggerFactory.getLogger(RemovalFence.class);
    /** Bounds how fast the tokens of a term are used up; removals that nothing waits for are collected meanwhile. */
    private static final double MIN_RAISE_INTERVAL_LEASES = 1;
    /** Keeps the heartbeats, which list the attempts, well below the protocol's limit of 64 KiB. */
    private static final int MAX_DEFERRED_REMOVALS = 200;

    private final EventLoop eventLoop;
    private final long minRaiseIntervalMs;
    private final Consumer<AgentState> onRaised;

    /** @param onRaised notified of each agent whose removals need not wait any longer */
    RemovalFence(LeaderContext leader, AgentTiming timing, Consumer<AgentState> onRaised) {
        this.eventLoop = leader.eventLoop();
        this.minRaiseIntervalMs = (long) (MIN_RAISE_INTERVAL_LEASES * timing.leaseMs());
        this.onRaised = onRaised;
    }

    /** Raises the agent's token if removals wait for that; called before a heartbeat response is built. */
    void raiseTokenIfDue(AgentState agent) {
        AgentToken token = agent.token();
        if (agent.removable().isEmpty() || !token.canBeRaised() || token.isRaisePending()) {
            return;
        }
        // A direct call in flight with the present token would be rejected.
        if (agent.outstandingStarts().hasStartsInFlight()) {
            return;
        }
        List<Attempt> deferred =
                agent.removable().stream().filter(agent::isRemovalDeferred).toList();
        if (!deferred.isEmpty() && isDue(agent, deferred)) {
            raiseToken(agent, deferred.size());
        }
    }

    private boolean isDue(AgentState agent, List<Attempt> deferred) {
        boolean intervalOver = agent.token()
                .lastRaise()
                .map(raise -> eventLoop.nowMs() - raise.atMs() >= minRaiseIntervalMs)
                .orElse(true);
        // The agent refuses another attempt of a task until the earlier one is removed.
        return intervalOver
                || deferred.size() >= MAX_DEFERRED_REMOVALS
                || deferred.stream().anyMatch(agent::isUnfinished);
    }

    private void raiseToken(AgentState agent, int removals) {
        agent.token().raise(AgentToken.RaiseReason.REMOVAL, eventLoop.nowMs());
        eventLoop.increment("fencing.tokens_raised_for_removals", 1);
        LOG.atDebug()
                .addKeyValue("machine", agent.machine().id())
                .addKeyValue("token", agent.token().current())
                .addKeyValue("removals", removals)
                .log("token raised for removals");
        onRaised.accept(agent);
    }
}
