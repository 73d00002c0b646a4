package io.quartzgw.app;

import io.quartzgw.agent.AgentManager;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.scheduling.TaskLauncher;

/** Sends the scheduler's starts and stops to the agents. */
final class AgentTaskLauncher implements TaskLauncher {
    private final AgentManager agents;

    AgentTaskLauncher(AgentManager agents) {
        this.agents = agents;
    }

    @Override
    public void start(Allocation allocation) {
        agents.requestStart(allocation);
    }

    @Override
    public void stop(Allocation allocation, double graceS, StopReason reason) {
        agents.requestStop(allocation, graceS, reason);
    }

    @Override
    public boolean isRelocatable(Allocation allocation) {
        return !agents.mayDirectCallStart(allocation);
    }
}
