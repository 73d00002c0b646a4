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
    private boolean onFaultyMachine;
    Optional<String> exitCause = Optional.empty();

    AgentTask(String name, long attempt, SimulatedAgent.TaskProfile job) {
        this.name = name;
        this.attempt = attempt;
        this.job = job;
    }

    /** Makes the attempt end with an error at a time, whatever its job. */
    void failAt(long time) {
        onFaultyMachine = true;
        endsAt = time;
    }

    /** Whether the attempt ends with an error. */
    boolean fails() {
        return onFaultyMachine || job.faulty();
    }

    /** Whether the attempt, once running, ends by itself until the given time; a service ends only by a fault. */
    boolean endsBy(long time) {
        return (onFaultyMachine || !job.service()) && time >= endsAt;
    }
}
