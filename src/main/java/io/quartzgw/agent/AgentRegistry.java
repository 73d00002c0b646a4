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

/** The state of every agent, and which of the agents have pending commands. */
final class AgentRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(AgentRegistry.class);

    private final ClusterState cluster;
    private final long term;
    private final Map<String, AgentState> agents = new HashMap<>();
    /** Agents with pending commands, in the order in which their first one came up. */
    private final Set<AgentState> withPendingCommands = new LinkedHashSet<>();

    AgentRegistry(LeaderContext leader) {
        this.cluster = leader.cluster();
        this.term = leader.term().number();
    }

    /** Returns the state of a machine's agent, and creates it if the machine is new or has taken the ID of another. */
    AgentState agentOf(Machine machine) {
        AgentState agent = agents.get(machine.id());
        if (agent == null || agent.machine() != machine) {
            agent = new AgentState(machine, term);
            agents.put(machine.id(), agent);
        }
        return agent;
    }

    /** Removes the state of a machine's agent and returns it, if there was any. */
    Optional<AgentState> remove(Machine machine) {
        Optional<AgentState> removed = Optional.ofNullable(agents.remove(machine.id()));
        removed.ifPresent(withPendingCommands::remove);
        return removed;
    }

    /** Adds an agent to those with pending commands. */
    void addPending(AgentState agent) {
        withPendingCommands.add(agent);
    }

    /** Removes an agent from those with pending commands. */
    void removePending(AgentState agent) {
        withPendingCommands.remove(agent);
    }

    /** Returns all agents; not to be modified. */
    Collection<AgentState> agents() {
        return Collections.unmodifiableCollection(agents.values());
    }

    /** Returns a snapshot of the agents with pending commands. */
    Collection<AgentState> withPendingCommands() {
        return List.copyOf(withPendingCommands);
    }

    /** Requests that the start of an allocation is sent at the end of this batch. */
    void requestStart(Allocation allocation) {
        requestStarts(allocation.machine());
    }

    /** Requests that the unsent starts of a machine's allocations are sent. */
    void requestStarts(Machine machine) {
        withPendingCommands.add(agentOf(machine));
    }

    /** Requests that the unsent starts of a job's allocations are sent. */
    void requestStarts(Job job) {
        job.allocations().stream().filter(allocation -> !allocation.startSent()).forEach(this::requestStart);
    }

    /**
     * Requests that an allocation's attempt is stopped: directly at the end of this batch, and in responses to
     * heartbeats until it has ended. An attempt whose start was never sent is released at once.
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
            // The log has to drop its start.
            withPendingCommands.add(agent);
            return;
        }
        allocation.requestStop(graceSeconds);
        withPendingCommands.add(agent);
    }
}
