package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import java.util.List;

/** A command to an agent. */
public sealed interface AgentCommand {

    /** The attempt that the command applies to. */
    Attempt attempt();

    /** Starts an attempt; an agent that knows the attempt ignores it. */
    record Start(Attempt attempt) implements AgentCommand {}

    /**
     * Stops an attempt.
     *
     * @param graceSeconds how long the task may take to save its state
     */
    record Stop(Attempt attempt, double graceSeconds) implements AgentCommand {
        /** Stops an attempt without a grace period. */
        static Stop immediately(Attempt attempt) {
            return new Stop(attempt, 0);
        }
    }

    /** Makes the agent forget an attempt that has ended. */
    record Remove(Attempt attempt) implements AgentCommand {}

    /** Returns the attempts that some commands start. */
    static List<Attempt> startedAttempts(List<AgentCommand> commands) {
        return commands.stream()
                .filter(Start.class::isInstance)
                .map(AgentCommand::attempt)
                .toList();
    }
}
