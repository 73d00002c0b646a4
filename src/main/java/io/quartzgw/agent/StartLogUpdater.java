package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.startlog.StartLog;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Announces the starts that direct calls may carry to the log, before a call leaves and until none may be executed any
 * more. So a successor of this leader knows them, and places their tasks nowhere else.
 */
final class StartLogUpdater {
    private final StartLog log;

    StartLogUpdater(StartLog log) {
        this.log = log;
    }

    /** Announces all starts that direct calls may carry to an agent's machine from now on, or may still carry. */
    void updateStarts(AgentState agent) {
        Stream<Attempt> pending = agent.machine().allocations().stream()
                .filter(agent::isStartPending)
                .map(Attempts::of);
        Stream<Attempt> outstanding = agent.outstandingStarts().outstandingInDirectCalls().stream();
        Set<Attempt> starts = Stream.concat(pending, outstanding).collect(Collectors.toCollection(LinkedHashSet::new));

        log.announce(agent.machine().id(), starts);
    }

    /** Announces that no direct call can carry a start to a machine, since the machine is gone. */
    void machineRemoved(String machine) {
        log.announce(machine, Set.of());
    }

    /** Returns whether a direct call may carry a start: the log has stored it. */
    boolean maySendDirectly(AgentState agent, Attempt attempt) {
        return log.isStored(agent.machine().id(), attempt);
    }
}
