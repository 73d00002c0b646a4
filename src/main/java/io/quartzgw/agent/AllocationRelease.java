package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases the allocations of attempts that no longer run, so that their tasks may be started on other machines.
 *
 * <p>One rule holds for all of them: while a direct call may still start the attempt on its machine, the task stays
 * bound to that machine. The fencing token and the epoch do not rule out such a late start, because the agent of a
 * rebooted machine has received no token and restarts its epoch count. The call counts as settled once it is answered
 * or the machine is deleted. An answered call may arrive again, which {@link RemovalFence} makes harmless at the same
 * agent and {@link #allAttemptsLostWithAgent} at the agent that replaces it.
 */
final class AllocationRelease {
    private static final Logger LOG = LoggerFactory.getLogger(AllocationRelease.class);

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;

    /** Why an attempt no longer runs. */
    private enum End {
        /** The agent reports that the attempt has ended. */
        EXITED,
        /**
         * The machine has failed, the agent's lease has expired, or the agent was replaced, has begun a new epoch, or
         * no longer reports the attempt.
         */
        LOST,
        /** The attempt was requested to stop before any heartbeat listed it. */
        NEVER_SEEN
    }

    AllocationRelease(LeaderContext leader, AgentRegistry registry) {
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
    }

    /**
     * Returns whether a direct call may still start the attempt of an allocation. Unlike
     * {@link OutstandingStarts#isOutstanding}, this ignores starts in heartbeat responses.
     */
    boolean mayDirectCallStart(Allocation allocation) {
        boolean mayHaveUnknownStart = allocation.machine().fencing().mayReceiveUnknownStarts()
                && cluster.isOfPreviousLeader(allocation.attempt());
        return mayHaveUnknownStart
                || registry.agentOf(allocation.machine())
                        .outstandingStarts()
                        .isOutstandingInDirectCalls(Attempts.of(allocation));
    }

    private boolean isSafeToRelease(Allocation allocation) {
        // A completed task is not started again, so a late start needs no protection.
        return allocation.job().isCompleted(allocation.index()) || !mayDirectCallStart(allocation);
    }

    /**
     * Returns whether an agent may be waiting for a heartbeat response with the start of an allocation whose task is
     * not completed. The agent may be a replacement for the one that lost the attempt.
     */
    private boolean isResponseAwaited(Allocation allocation) {
        return !allocation.job().isCompleted(allocation.index())
                && registry.agentOf(allocation.machine())
                        .outstandingStarts()
                        .isResponseAwaited(Attempts.of(allocation), eventLoop.nowMs());
    }

    void attemptExited(Allocation allocation) {
        releaseOrRetainUnfenced(allocation, End.EXITED);
    }

    private void releaseOrRetainUnfenced(Allocation allocation, End end) {
        if (isSafeToRelease(allocation)) {
            cluster.release(allocation);
        } else {
            logAllocationKept(allocation, end);
            cluster.retainUnfencedAllocation(allocation);
        }
    }

    /**
     * Called when an agent no longer has an attempt. If a direct call or an awaited heartbeat response may still start
     * it, the allocation remains, and the same attempt is started again on the machine if its agent is reachable.
     */
    void attemptLost(Allocation allocation) {
        if (isSafeToRelease(allocation) && !isResponseAwaited(allocation)) {
            cluster.release(allocation);
        } else {
            keepLost(allocation);
        }
    }

    private void keepLost(Allocation allocation) {
        if (!allocation.isLost()) {
            logAllocationKept(allocation, End.LOST);
            allocation.markLost(eventLoop.nowMs());
        }
    }

    /**
     * Called when the agent of a machine was replaced. Until the new agent has received a higher token, it may execute
     * direct calls that the previous one has executed, if they arrive again. So the attempts in these calls keep their
     * allocations, too, and are started on the machine again.
     */
    void allAttemptsLostWithAgent(AgentState agent) {
        for (Allocation allocation : agent.machine().allocationsSnapshot()) {
            boolean completed = allocation.job().isCompleted(allocation.index());
            if (!completed && agent.mayRepeatStart(Attempts.of(allocation))) {
                keepLost(allocation);
            } else {
                attemptLost(allocation);
            }
        }
    }

    /** Called when attempts no longer run on a machine, because its lease has expired. */
    void allAttemptsLost(Machine machine) {
        machine.allocationsSnapshot().forEach(this::attemptLost);
    }

    /**
     * Releases the agent's unfenced allocations that direct calls can no longer start. Also releases the stopping ones
     * that no heartbeat has listed and that no command can start. A stopping attempt that only an unanswered direct
     * call may still start is retained as unfenced.
     *
     * <p>Called after every heartbeat of the agent that counts as current, that is, neither stale nor unverified. If a
     * direct call that was answered earlier has started its attempts, the heartbeat lists them. The responses to
     * earlier heartbeats have been executed or lost.
     */
    void releaseUnstartable(AgentState agent) {
        Machine machine = agent.machine();
        if (machine.fencing().hasUnfenced()) {
            machine.fencing().unfenced().stream()
                    .filter(allocation -> !mayDirectCallStart(allocation))
                    .forEach(cluster::release);
        }
        machine.allocations().stream()
                .filter(allocation -> allocation.stopping() && !allocation.observed())
                .toList()
                .forEach(allocation -> releaseOrRetainStopping(allocation, agent));
    }

    private void releaseOrRetainStopping(Allocation allocation, AgentState agent) {
        Attempt attempt = Attempts.of(allocation);
        OutstandingStarts outstanding = agent.outstandingStarts();
        if (agent.mayRepeatStart(attempt)) {
            return;
        }
        if (!outstanding.isOutstanding(attempt)) {
            cluster.release(allocation);
        } else if (outstanding.isOutstandingOnlyInUnansweredCalls(attempt)) {
            releaseOrRetainUnfenced(allocation, End.NEVER_SEEN);
        }
    }

    // Logs and counts "unfenced" attempts in the wider sense of the metrics, which includes lost attempts that
    // keep their allocation; MachineFencing contains only the retained ones.
    private void logAllocationKept(Allocation allocation, End end) {
        eventLoop.increment("fencing.attempts", 1);
        LOG.atInfo()
                .addKeyValue("task", allocation.task())
                .addKeyValue("attempt", allocation.attempt())
                .addKeyValue("machine", allocation.machine().id())
                .addKeyValue("end", end)
                .addKeyValue("stopping", allocation.stopping())
                .log("attempt unfenced");
    }
}
