package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import java.util.List;

/** A command to an agent. */
public sealed interface AgentCommand {

    /** The attempt that the command applies to. */
    Attempt attempt();

    /** Starts an attempt; ignored by an agent that already holds the attempt. */
    record Start(Attempt attempt) implements AgentCommand {}

    /**
     * Stops an attempt.
     *
     * @param graceSeconds time that the task has to save its state
     */
    record Stop(Attempt attempt, double graceSeconds) implements AgentCommand {
        /** Stops an attempt without a grace period. */
        static Stop immediately(Attempt attempt) {
            return new Stop(attempt, 0);
        }
    }

    /** Removes an ended attempt from the agent. */
    record Remove(Attempt attempt) implements AgentCommand {}

    /** Returns the attempts of the start commands in a list of commands. */
    static List<Attempt> startedAttempts(List<AgentCommand> commands) {
        return commands.stream()
                .filter(Start.class::isInstance)
                .map(AgentCommand::attempt)
                .toList();
    }
}
