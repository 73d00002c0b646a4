package io.quartzgw.simulation;

import java.util.Optional;

/** An attempt of a task on a simulated machine. */
final class AgentTask {
    final String name;
    final long attempt;
    final SimulatedAgent.TaskProfile job;
    long startsAt;
    long endsAt;
    boolean running;
    Optional<String> exitCause = Optional.empty();

    AgentTask(String name, long attempt, SimulatedAgent.TaskProfile job) {
        this.name = name;
        this.attempt = attempt;
        this.job = job;
    }
}
