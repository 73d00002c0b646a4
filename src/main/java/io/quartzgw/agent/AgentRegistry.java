package io.quartzgw.agent;

import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the leader has under way with each worker, and which of them have something to be ordered. */
final class AgentRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(AgentRegistry.class);

    private final ClusterState cluster;
    private final Map<String, AgentState> agents = new HashMap<>();
    /** Workers with something to be ordered, in the order in which it fell due. */
    private final Set<AgentState> withPendingCommands = new LinkedHashSet<>();

    AgentRegistry(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** What is under way with a machine's worker; it begins anew when another machine has taken the name. */
    AgentState agentOf(Machine machine) {
        AgentState worker = agents.get(machine.id());
        if (worker == null || worker.machine != machine) {
            worker = new AgentState(machine);
            agents.put(machine.id(), worker);
        }
        return worker;
    }

    /** Drops what is kept of a machine that is gone, and returns it; null when there was nothing. */
    AgentState remove(Machine machine) {
        AgentState worker = agents.remove(machine.id());
        withPendingCommands.remove(worker);
        return worker;
    }

    /** Says that a worker has to be ordered something. */
    void addPending(AgentState worker) {
        withPendingCommands.add(worker);
    }

    /** Says that what fell due for a worker is being sent. */
    void removePending(AgentState worker) {
        withPendingCommands.remove(worker);
    }

    /** The workers that have to be ordered something, as of now. */
    Collection<AgentState> withPendingCommands() {
        return List.copyOf(withPendingCommands);
    }

    /** Has a booking's start sent at the end of this batch. */
    void requestStart(Allocation booking) {
        requestStarts(booking.machine());
    }

    /** Has the starts sent that wait on a machine. */
    void requestStarts(Machine machine) {
        withPendingCommands.add(agentOf(machine));
    }

    /** Has the starts sent of a job's tasks that wait for that. */
    void requestStarts(Job job) {
        job.allocations().stream().filter(booking -> !booking.startSent()).forEach(this::requestStart);
    }

    /** Has a task stopped: directly at the end of this batch, and in report responses until it has ended. */
    void requestStop(Allocation booking, double graceS, StopReason reason) {
        LOG.atDebug()
                .addKeyValue("task", booking.task())
                .addKeyValue("attempt", booking.attempt())
                .addKeyValue("machine", booking.machine().id())
                .addKeyValue("reason", reason)
                .addKeyValue("seen", booking.observed())
                .addKeyValue("offered", booking.startSent())
                .log("task is stopped");
        if (!booking.startSent() && !booking.observed()) {
            cluster.release(booking);
            return;
        }
        booking.requestStop(graceS);
        withPendingCommands.add(agentOf(booking.machine()));
    }
}
