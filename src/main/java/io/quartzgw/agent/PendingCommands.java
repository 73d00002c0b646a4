package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Builds the commands that are pending for an agent, in the order in which the agent has to execute them. */
final class PendingCommands {
    private final LeaderContext leader;
    private final StartLogUpdater startLogUpdater;
    private final AgentManager.Listener listener;

    /** @param listener notified of what must be recorded before a start is sent */
    PendingCommands(LeaderContext leader, StartLogUpdater startLogUpdater, AgentManager.Listener listener) {
        this.leader = leader;
        this.startLogUpdater = startLogUpdater;
        this.listener = listener;
    }

    /** Returns the commands for a direct call; none if only removals are pending, which can wait for a response. */
    List<AgentCommand> forDirectCall(AgentState agent) {
        List<AgentCommand> commands = removals(agent);
        List<AgentCommand> urgent = stops(agent);
        if (agent.token().canBeRaised()) {
            urgent.addAll(starts(agent, attempt -> startLogUpdater.maySendDirectly(agent, attempt)));
        }
        commands.addAll(urgent);
        return urgent.isEmpty() ? List.of() : commands;
    }

    /** Returns the commands for the response to a heartbeat. */
    List<AgentCommand> forHeartbeatResponse(AgentState agent) {
        List<AgentCommand> commands = removals(agent);
        commands.addAll(stops(agent));
        commands.addAll(stopsOfUnfencedAttempts(agent));
        List<AgentCommand> starts = starts(agent, attempt -> true);
        long notStored = starts.stream()
                .filter(start -> !startLogUpdater.maySendDirectly(agent, start.attempt()))
                .count();
        leader.eventLoop().increment("startlog.starts_by_response_only", notStored);
        commands.addAll(starts);
        return commands;
    }

    private List<AgentCommand> removals(AgentState agent) {
        List<AgentCommand> removals = new ArrayList<>();
        for (Attempt attempt : agent.removable()) {
            // A start that is executed after the removal would run the task again.
            if (agent.mayStillStart(attempt)) {
                leader.eventLoop().increment("orders.removals_withheld", 1);
            } else if (agent.isRemovalDeferred(attempt)) {
                leader.eventLoop().increment("orders.removals_deferred", 1);
            } else {
                removals.add(new AgentCommand.Remove(attempt));
            }
        }
        return removals;
    }

    private static List<AgentCommand> stops(AgentState agent) {
        List<AgentCommand> commands = new ArrayList<>();
        agent.orphans().forEach(attempt -> commands.add(AgentCommand.Stop.immediately(attempt)));
        for (Allocation allocation : agent.machine().allocations()) {
            if (allocation.stopping()) {
                addStop(agent, allocation, commands);
            }
        }
        return commands;
    }

    // Stops the attempts that an unanswered call may have started since the agent's heartbeat. The response with these
    // stops also carries the raised token. After it, such an attempt neither runs nor can be started, although the
    // response renews the lease.
    private static List<AgentCommand> stopsOfUnfencedAttempts(AgentState agent) {
        List<AgentCommand> commands = new ArrayList<>();
        for (Allocation allocation : agent.machine().fencing().unfenced()) {
            Attempt attempt = Attempts.of(allocation);
            if (agent.mayStillStart(attempt)) {
                commands.add(AgentCommand.Stop.immediately(attempt));
            }
        }
        return commands;
    }

    // No start is sent ahead of the stop, although the agent would then ignore a late start: the task would run
    // briefly, and a leader must start nothing if it is not confirmed or has recorded the job's cancellation. An
    // attempt that a late start begins is stopped once a heartbeat lists it; until then its task is not placed
    // elsewhere (AllocationRelease).
    private static void addStop(AgentState agent, Allocation allocation, List<AgentCommand> commands) {
        Attempt attempt = Attempts.of(allocation);
        if (allocation.observed() || agent.outstandingStarts().isUnanswered(attempt)) {
            commands.add(new AgentCommand.Stop(attempt, allocation.stopGraceS()));
        }
    }

    private List<AgentCommand> starts(AgentState agent, Predicate<Attempt> maySend) {
        List<AgentCommand> commands = new ArrayList<>();
        if (!leader.term().isConfirmed()) {
            return commands;
        }
        boolean machineRecordNeeded = false;
        for (Allocation allocation : agent.machine().allocations()) {
            if (!agent.isStartPending(allocation)) {
                continue;
            }
            Attempt attempt = Attempts.of(allocation);
            boolean startRecorded = allocation.index() < allocation.job().recordedStartLimit();
            if (!startRecorded) {
                listener.recordNeeded(allocation.job(), allocation.index());
            }
            if (!agent.machine().hasRunTasks()) {
                machineRecordNeeded = true;
            } else if (startRecorded && maySend.test(attempt)) {
                allocation.markStartSent();
                commands.add(new AgentCommand.Start(attempt));
            }
        }
        if (machineRecordNeeded) {
            listener.recordNeeded(agent.machine());
        }
        return commands;
    }
}
