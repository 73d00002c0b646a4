package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.liveness.AgentLiveness.Freshness;
import io.quartzgw.liveness.AgentLiveness.Origin;
import io.quartzgw.model.MachineType;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Classifies heartbeats by freshness and applies the current ones to the cluster state. */
final class HeartbeatProcessor {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);
    private static final int MS_PER_SECOND = 1000;

    private final LeaderContext leader;
    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final TaskReconciler reconciler;
    private final AllocationRelease allocationRelease;

    /**
     * The result of processing a heartbeat.
     *
     * @param contact the machine whose agent must be sent a direct call that requests a heartbeat, if any
     */
    record Result(Freshness freshness, Optional<Machine> contact) {}

    HeartbeatProcessor(
            LeaderContext leader,
            AgentRegistry registry,
            TaskReconciler reconciler,
            AllocationRelease allocationRelease) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.reconciler = reconciler;
        this.allocationRelease = allocationRelease;
    }

    /** Processes a heartbeat that an agent has sent on its own. */
    Result process(Heartbeat heartbeat) {
        return process(heartbeat, Origin.AGENT);
    }

    /** Processes the heartbeat with which an agent has replied to a direct call. */
    Result processReply(AgentState agent, Heartbeat heartbeat) {
        AgentLiveness liveness = agent.machine().liveness();
        liveness.markReachable();
        agent.replyReceived();
        if (liveness.verified() && agent.isFromReplacementAgent(heartbeat)) {
            onAgentReplaced(agent, heartbeat);
        }
        liveness.observeEpoch(heartbeat.epoch());
        return process(heartbeat, Origin.DIRECT_CALL);
    }

    private Result process(Heartbeat heartbeat, Origin origin) {
        Optional<Machine> source = findOrAdoptMachine(heartbeat);
        if (source.isEmpty()) {
            return new Result(Freshness.UNVERIFIED, Optional.empty());
        }
        Machine machine = source.get();
        AgentLiveness liveness = machine.liveness();
        Freshness freshness = liveness.classify(heartbeat.id(), showsTokenOfTerm(heartbeat), origin);
        boolean contactNeeded = false;
        if (freshness == Freshness.CURRENT) {
            applyCurrent(machine, heartbeat, origin);
        } else {
            machine.address(heartbeat.address());
            // The agent is new, the machine was rebooted, or the heartbeat is a duplicate. The reply to a direct call
            // distinguishes these cases. The failover recovery contacts the agents that a previous leader used.
            contactNeeded = !machine.hasRunTasks() || liveness.verified();
        }
        if (origin == Origin.AGENT) {
            if (freshness != Freshness.STALE) {
                liveness.recordResponse(eventLoop.nowMs());
            }
            contactNeeded |= liveness.unreachable();
        }
        return new Result(freshness, contactNeeded ? Optional.of(machine) : Optional.empty());
    }

    private boolean showsTokenOfTerm(Heartbeat heartbeat) {
        return heartbeat.fencingToken() >= leader.term().lowestToken();
    }

    private Optional<Machine> findOrAdoptMachine(Heartbeat heartbeat) {
        return cluster.findMachine(heartbeat.machine()).or(() -> adoptMachine(heartbeat));
    }

    private Optional<Machine> adoptMachine(Heartbeat heartbeat) {
        Heartbeat.Source source = heartbeat.source();
        Optional<MachineType> type = leader.machineTypes().find(source.machineType());
        // Without a token of this term, it may be a delayed duplicate from a machine that no longer exists.
        if (type.isEmpty() || cluster.wasRemoved(source.machine()) || !showsTokenOfTerm(heartbeat)) {
            return Optional.empty();
        }
        long nowMs = eventLoop.nowMs();
        Machine machine = new Machine(source.machine(), type.get(), source.zone(), source.spot(), nowMs, nowMs);
        cluster.add(machine);
        return Optional.of(machine);
    }

    private void applyCurrent(Machine machine, Heartbeat heartbeat, Origin origin) {
        AgentLiveness liveness = machine.liveness();
        AgentState agent = registry.agentOf(machine);
        boolean firstVerified = !liveness.verified();
        boolean epochChanged = !firstVerified && heartbeat.epoch() > liveness.epoch();
        boolean reservationExpired = machine.reservationExpired();
        machine.address(heartbeat.address());
        liveness.recordHeartbeat(heartbeat.id(), eventLoop.nowMs());
        machine.markUp();
        if (epochChanged) {
            onEpochChanged(agent, heartbeat);
        }
        recordToken(agent, heartbeat, origin);
        if (origin == Origin.AGENT) {
            agent.outstandingStarts().heartbeatReceived(heartbeat.sequence());
        }
        machine.reclaimAt(reclaimAtMs(heartbeat));
        applyTaskList(agent, heartbeat, reservationExpired);
        if (firstVerified || epochChanged || reservationExpired) {
            cluster.markChanged();
        }
    }

    private void recordToken(AgentState agent, Heartbeat heartbeat, Origin origin) {
        AgentToken token = agent.token();
        boolean wasPending = token.isRaisePending();
        token.recordShown(heartbeat.fencingToken());
        if (wasPending && !token.isRaisePending()) {
            token.lastRaise().ifPresent(raise -> logRaisedTokenObserved(heartbeat, origin, raise));
        }
    }

    private void logRaisedTokenObserved(Heartbeat heartbeat, Origin origin, AgentToken.Raise raise) {
        boolean routine = raise.reason() == AgentToken.RaiseReason.REMOVAL;
        LOG.atLevel(routine ? Level.DEBUG : Level.INFO)
                .addKeyValue("machine", heartbeat.machine())
                .addKeyValue("token", heartbeat.fencingToken())
                .addKeyValue("origin", origin)
                .addKeyValue("reason", raise.reason())
                .addKeyValue("after_ms", eventLoop.nowMs() - raise.atMs())
                .log("raised fencing token observed");
    }

    private long reclaimAtMs(Heartbeat heartbeat) {
        return heartbeat.reclaimInSeconds().isPresent()
                ? eventLoop.nowMs() + (long) (heartbeat.reclaimInSeconds().getAsDouble() * MS_PER_SECOND)
                : Long.MAX_VALUE;
    }

    private void applyTaskList(AgentState agent, Heartbeat heartbeat, boolean reservationExpired) {
        if (agent.replaceTaskList(heartbeat.taskList()) || reservationExpired) {
            List<Heartbeat.TaskStatus> tasks = heartbeat.tasks();
            eventLoop.increment("reports.read", 1);
            LOG.atDebug()
                    .addKeyValue("machine", heartbeat.machine())
                    .addKeyValue("epoch", heartbeat.epoch())
                    .addKeyValue("tasks", tasks)
                    .log("task list changed");
            reconciler.apply(agent, tasks);
        }
        allocationRelease.releaseUnstartable(agent);
        reconciler.updateRefusedJobs(agent);
    }

    /**
     * Handles a new epoch: the lease has expired, and the agent has killed and removed its tasks. Responses may not be
     * reaching the agent, so it counts as unreachable until it replies to a direct call.
     */
    private void onEpochChanged(AgentState agent, Heartbeat heartbeat) {
        Machine machine = agent.machine();
        LOG.atInfo()
                .addKeyValue("machine", machine.id())
                .addKeyValue("epoch", heartbeat.epoch())
                .log("agent epoch changed");
        agent.epochChanged();
        reconciler.updateOrphanCapacity(machine);
        allocationRelease.allAttemptsLost(machine);
        machine.liveness().markUnreachable(eventLoop.nowMs());
    }

    /** Handles a replacement agent on a machine: the attempts of the previous agent no longer run. */
    private void onAgentReplaced(AgentState agent, Heartbeat heartbeat) {
        Machine machine = agent.machine();
        LOG.atInfo()
                .addKeyValue("machine", machine.id())
                .addKeyValue("epoch", heartbeat.epoch())
                .log("agent replaced");
        agent.agentReplaced(eventLoop.nowMs());
        reconciler.updateOrphanCapacity(machine);
        machine.liveness().recordAgentReplacement(heartbeat.id());
        allocationRelease.allAttemptsLostWithAgent(agent);
    }
}
