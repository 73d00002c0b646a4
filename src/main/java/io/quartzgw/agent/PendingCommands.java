package io.quartzgw.agent;

import io.quartzgw.scheduling.Allocation;
import java.util.ArrayList;
import java.util.List;

/** Builds the commands that are pending for an agent, in the order in which the agent has to execute them. */
final class PendingCommands {
    private final LeaderContext leader;
    private final AgentManager.Listener listener;

    /** How commands reach an agent. */
    private enum Channel {
        DIRECT_CALL,
        HEARTBEAT_RESPONSE
    }

    /** @param listener notified of what has to be recorded before a start */
    PendingCommands(LeaderContext leader, AgentManager.Listener listener) {
        this.leader = leader;
        this.listener = listener;
    }

    /** Returns the commands for a direct call; none if only removals are pending, which can wait for a response. */
    List<AgentCommand> forDirectCall(AgentState agent) {
        List<AgentCommand> removals = removals(agent);
        List<AgentCommand> urgent = stopsAndStarts(agent, Channel.DIRECT_CALL);
        return urgent.isEmpty() ? List.of() : concatenate(removals, urgent);
    }

    /** Returns the commands for the response to a heartbeat. */
    List<AgentCommand> forHeartbeatResponse(AgentState agent) {
        List<AgentCommand> removals = removals(agent);
        return concatenate(removals, stopsAndStarts(agent, Channel.HEARTBEAT_RESPONSE));
    }

    private static List<AgentCommand> concatenate(List<AgentCommand> first, List<AgentCommand> second) {
        List<AgentCommand> commands = new ArrayList<>(first);
        commands.addAll(second);
        return commands;
    }

    private List<AgentCommand> removals(AgentState agent) {
        List<AgentCommand> removals = new ArrayList<>();
        for (Attempt attempt : agent.removable()) {
            // A start that is executed after the removal would run the task again.
            if (agent.mayStartAgain(attempt)) {
                leader.eventLoop().increment("orders.removals_withheld", 1);
            } else {
                removals.add(new AgentCommand.Remove(attempt));
            }
        }
        return removals;
    }

    private List<AgentCommand> stopsAndStarts(AgentState agent, Channel channel) {
        List<AgentCommand> commands = new ArrayList<>();
        agent.orphans().forEach(attempt -> commands.add(AgentCommand.Stop.immediately(attempt)));
        for (Allocation allocation : agent.machine().allocations()) {
            if (allocation.stopping()) {
                addStop(agent, allocation, channel, commands);
            }
        }
        if (leader.term().isConfirmed()) {
            addStarts(agent, commands);
        }
        return commands;
    }

    private static void addStop(AgentState agent, Allocation allocation, Channel channel, List<AgentCommand> commands) {
        Attempt attempt = Attempt.of(allocation);
        boolean unanswered = agent.outstandingStarts().isUnanswered(attempt);
        if (unanswered && !allocation.observed() && channel == Channel.HEARTBEAT_RESPONSE) {
            // The agent then knows the attempt as ended, so that the outstanding start has no effect.
            commands.add(new AgentCommand.Start(attempt));
        }
        if (unanswered || allocation.observed()) {
            commands.add(new AgentCommand.Stop(attempt, allocation.stopGraceS()));
        }
    }

    private void addStarts(AgentState agent, List<AgentCommand> commands) {
        boolean machineRecordNeeded = false;
        for (Allocation allocation : agent.machine().allocations()) {
            if (!isStartPending(agent, allocation)) {
                continue;
            }
            boolean startRecorded = allocation.index() < allocation.job().recordedStartLimit();
            if (!startRecorded) {
                listener.recordNeeded(allocation.job(), allocation.index());
            }
            if (!agent.machine().hasRunTasks()) {
                machineRecordNeeded = true;
            } else if (startRecorded) {
                allocation.markStartSent();
                commands.add(new AgentCommand.Start(Attempt.of(allocation)));
            }
        }
        if (machineRecordNeeded) {
            listener.recordNeeded(agent.machine());
        }
    }

    private static boolean isStartPending(AgentState agent, Allocation allocation) {
        return !allocation.observed()
                && !allocation.stopping()
                && !allocation.job().isTerminal()
                && !agent.outstandingStarts().isInFlight(Attempt.of(allocation));
    }
}
