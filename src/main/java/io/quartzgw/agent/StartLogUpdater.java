package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.startlog.StartLog;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Keeps in the start log every start that a direct call may carry, from before the call is sent until the start can no
 * longer be executed. The next leader reads these starts and does not place their tasks on other machines.
 */
final class StartLogUpdater {
    private final StartLog log;

    StartLogUpdater(StartLog log) {
        this.log = log;
    }

    /**
     * Sets the starts that the log holds for an agent's machine: those pending and those outstanding in direct calls.
     */
    void updateStarts(AgentState agent) {
        Stream<Attempt> pending = agent.machine().allocations().stream()
                .filter(agent::isStartPending)
                .map(Attempts::of);
        Stream<Attempt> outstanding = agent.outstandingStarts().outstandingInDirectCalls().stream();
        Set<Attempt> starts = Stream.concat(pending, outstanding).collect(Collectors.toCollection(LinkedHashSet::new));

        log.setStarts(agent.machine().id(), starts);
    }

    /** Drops all starts for a machine from the log, since the machine was removed. */
    void machineRemoved(String machine) {
        log.setStarts(machine, Set.of());
    }

    /** Returns whether a start may be sent in a direct call, which requires that it is stored in the log. */
    boolean maySendDirectly(AgentState agent, Attempt attempt) {
        return log.maySendDirectly(agent.machine().id(), attempt);
    }
}
