package io.quartzgw.agent;

import io.quartzgw.liveness.AgentLiveness.Freshness;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Builds the responses to heartbeats.
 *
 * <p>Every response that renews a lease also stops the attempts of jobs that are known to have ended, whether or not
 * the heartbeat is verified. Otherwise, when leaders change in quick succession, the first response of each could renew
 * the lease of a cancelled task without stopping it.
 */
final class HeartbeatResponder {
    private final LeaderContext leader;
    private final AgentRegistry registry;
    private final PendingCommands pendingCommands;
    private final RemovalFence removalFence;
    private final Predicate<String> isCancelled;

    /** @param isCancelled whether a job is known to be cancelled; usable before the open jobs have been read */
    HeartbeatResponder(
            LeaderContext leader,
            AgentRegistry registry,
            PendingCommands pendingCommands,
            RemovalFence removalFence,
            Predicate<String> isCancelled) {
        this.leader = leader;
        this.registry = registry;
        this.pendingCommands = pendingCommands;
        this.removalFence = removalFence;
        this.isCancelled = isCancelled;
    }

    /** Returns the response to a heartbeat that was received before the open jobs were read. */
    HeartbeatResponse respondBeforeStateLoaded(Heartbeat heartbeat) {
        return renewLease(heartbeat, stopsOfEndedJobs(heartbeat, attempt -> isCancelled.test(attempt.job())));
    }

    private HeartbeatResponse renewLease(Heartbeat heartbeat, List<AgentCommand> commands) {
        if (!leader.term().isConfirmed()) {
            leader.eventLoop().increment("responses.unconfirmed", 1);
            CommandLog.respondedUnconfirmed(heartbeat, leader.term(), commands);
        }
        return HeartbeatResponse.renewingLease(commands, tokenFor(heartbeat));
    }

    private long tokenFor(Heartbeat heartbeat) {
        return leader.cluster()
                .findMachine(heartbeat.machine())
                .map(machine -> registry.agentOf(machine).token().current())
                .orElseGet(() -> leader.term().lowestToken());
    }

    /** Returns the response to a heartbeat that has been processed. */
    HeartbeatResponse respond(Heartbeat heartbeat, Freshness freshness) {
        if (freshness == Freshness.STALE) {
            return HeartbeatResponse.ignored();
        }
        List<AgentCommand> commands = new ArrayList<>();
        if (freshness != Freshness.CURRENT) {
            commands.addAll(stopsOfEndedJobs(heartbeat, this::isOfEndedJob));
        }
        leader.cluster()
                .findMachine(heartbeat.machine())
                .filter(machine -> isFromVerifiedEpoch(heartbeat, machine))
                .ifPresent(machine -> addPendingCommands(heartbeat, machine, commands));
        return renewLease(heartbeat, commands);
    }

    /**
     * Returns whether a heartbeat is of the verified epoch. An agent in a later epoch would execute a start although
     * the heartbeat that verifies the later epoch releases the allocation, so that the task may be placed elsewhere.
     */
    private static boolean isFromVerifiedEpoch(Heartbeat heartbeat, Machine machine) {
        return machine.liveness().verified() && machine.liveness().epoch() == heartbeat.epoch();
    }

    /**
     * Returns whether the job of an attempt has ended. A leader starts a task only after it has read the job, so a job
     * that is missing here has ended.
     */
    private boolean isOfEndedJob(Attempt attempt) {
        return isCancelled.test(attempt.job())
                || Attempts.openJob(attempt, leader.cluster()).isEmpty();
    }

    private static List<AgentCommand> stopsOfEndedJobs(Heartbeat heartbeat, Predicate<Attempt> terminal) {
        List<AgentCommand> stops = new ArrayList<>();
        for (Heartbeat.TaskStatus task : heartbeat.tasks()) {
            if (task.state() != Heartbeat.TaskState.EXITED && terminal.test(task.attempt())) {
                stops.add(AgentCommand.Stop.immediately(task.attempt()));
            }
        }
        return stops;
    }

    private void addPendingCommands(Heartbeat heartbeat, Machine machine, List<AgentCommand> commands) {
        AgentState agent = registry.agentOf(machine);
        removalFence.raiseTokenIfDue(agent);
        List<AgentCommand> pending = pendingCommands.forHeartbeatResponse(agent);
        for (Attempt start : AgentCommand.startedAttempts(pending)) {
            agent.outstandingStarts()
                    .sentInResponse(
                            start, heartbeat.sequence(), leader.eventLoop().nowMs());
        }
        commands.addAll(pending);
        if (!commands.isEmpty()) {
            leader.eventLoop().increment("orders.in_responses", commands.size());
            CommandLog.sentInResponse(heartbeat, leader.term(), tokenFor(heartbeat), commands);
        }
    }
}
