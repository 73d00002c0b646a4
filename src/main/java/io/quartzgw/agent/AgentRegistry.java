package io.quartzgw.agent;

import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the state of every agent, and the set of agents with pending commands. */
final class AgentRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(AgentRegistry.class);

    private final ClusterState cluster;
    private final long term;
    private final Map<String, AgentState> agents = new HashMap<>();
    /** Agents with pending commands, in the order in which they were added. */
    private final Set<AgentState> withPendingCommands = new LinkedHashSet<>();

    AgentRegistry(LeaderContext leader) {
        this.cluster = leader.cluster();
        this.term = leader.term().number();
    }

    /** Returns the state of a machine's agent; creates it if the machine is new or reuses the ID of another machine. */
    AgentState agentOf(Machine machine) {
        AgentState agent = agents.get(machine.id());
        if (agent == null || agent.machine() != machine) {
            agent = new AgentState(machine, term);
            agents.put(machine.id(), agent);
        }
        return agent;
    }

    Optional<AgentState> remove(Machine machine) {
        Optional<AgentState> removed = Optional.ofNullable(agents.remove(machine.id()));
        removed.ifPresent(withPendingCommands::remove);
        return removed;
    }

    void addPending(AgentState agent) {
        withPendingCommands.add(agent);
    }

    void removePending(AgentState agent) {
        withPendingCommands.remove(agent);
    }

    /** Returns an unmodifiable view of all agents. */
    Collection<AgentState> agents() {
        return Collections.unmodifiableCollection(agents.values());
    }

    /** Returns a snapshot of the agents with pending commands. */
    Collection<AgentState> withPendingCommands() {
        return List.copyOf(withPendingCommands);
    }

    /** Requests that the start of an allocation be sent at the end of this batch. */
    void requestStart(Allocation allocation) {
        requestStarts(allocation.machine());
    }

    /** Requests that the unsent starts of a machine's allocations be sent. */
    void requestStarts(Machine machine) {
        withPendingCommands.add(agentOf(machine));
    }

    /** Requests that the unsent starts of a job's allocations be sent. */
    void requestStarts(Job job) {
        job.allocations().stream().filter(allocation -> !allocation.startSent()).forEach(this::requestStart);
    }

    /**
     * Requests that the attempt of an allocation be stopped: in a direct call at the end of this batch, and in
     * heartbeat responses until it has ended. An allocation whose start was never sent is released immediately.
     */
    void requestStop(Allocation allocation, double graceSeconds, StopReason reason) {
        LOG.atDebug()
                .addKeyValue("task", allocation.task())
                .addKeyValue("attempt", allocation.attempt())
                .addKeyValue("machine", allocation.machine().id())
                .addKeyValue("reason", reason)
                .addKeyValue("observed", allocation.observed())
                .addKeyValue("start_sent", allocation.startSent())
                .log("task stop requested");
        AgentState agent = agentOf(allocation.machine());
        boolean neverSent = !allocation.startSent()
                && !allocation.observed()
                && !agent.outstandingStarts().isOutstanding(Attempts.of(allocation));
        if (neverSent) {
            cluster.release(allocation);
            // Processing the agent's commands also drops the start from the start log.
            withPendingCommands.add(agent);
            return;
        }
        allocation.requestStop(graceSeconds);
        withPendingCommands.add(agent);
    }
}
