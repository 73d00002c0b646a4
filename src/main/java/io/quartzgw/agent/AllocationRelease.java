package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases the allocations of attempts that run no more, so that their tasks may be started elsewhere. The one rule for
 * all of them: while a direct call may still start the attempt on its machine, the task stays bound to that machine.
 * Neither the fencing token nor the epoch voids such a call, since the agent of a machine that was started again knows
 * no token and counts its epochs from the first. The call is void once it is answered or the machine is deleted.
 */
final class AllocationRelease {
    private static final Logger LOG = LoggerFactory.getLogger(AllocationRelease.class);

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;

    /** How an attempt came to run no more. */
    private enum End {
        /** The agent reports that it has ended. */
        EXITED,
        /** Its agent is gone, has begun a new epoch, or no longer reports it. */
        LOST,
        /** It was to be stopped before any heartbeat has shown it. */
        NEVER_SEEN
    }

    AllocationRelease(LeaderContext leader, AgentRegistry registry) {
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
    }

    /** Returns whether a direct call may still start an allocation's attempt. */
    boolean isStartOutstanding(Allocation allocation) {
        boolean mayBeUnknown =
                allocation.machine().fencing().hasUnknownStarts() && cluster.isOfFormerLeader(allocation.attempt());
        return mayBeUnknown
                || registry.agentOf(allocation.machine())
                        .outstandingStarts()
                        .isOutstandingInDirectCalls(Attempts.of(allocation));
    }

    private boolean isSafeToRelease(Allocation allocation) {
        // A task that is done is not started elsewhere.
        return allocation.job().isDone(allocation.index()) || !isStartOutstanding(allocation);
    }

    /**
     * Returns whether an agent may be waiting for a response with the start of an unfinished task. It need not be the
     * agent that has lost the attempt: that one may have been replaced.
     */
    private boolean isResponseAwaited(Allocation allocation) {
        return !allocation.job().isDone(allocation.index())
                && registry.agentOf(allocation.machine())
                        .outstandingStarts()
                        .isResponseAwaited(Attempts.of(allocation), eventLoop.nowMs());
    }

    /** Handles that an attempt has exited. */
    void attemptExited(Allocation allocation) {
        releaseOrRetainUnfenced(allocation, End.EXITED);
    }

    private void releaseOrRetainUnfenced(Allocation allocation, End end) {
        if (isSafeToRelease(allocation)) {
            cluster.release(allocation);
        } else {
            logUnfenced(allocation, end);
            cluster.retainUnfenced(allocation);
        }
    }

    /**
     * Handles that an agent no longer has an attempt. Where its start is outstanding, the allocation remains, and the
     * same attempt is started again on the machine if its agent can be reached.
     */
    void attemptLost(Allocation allocation) {
        if (isSafeToRelease(allocation) && !isResponseAwaited(allocation)) {
            cluster.release(allocation);
        } else if (!allocation.isLost()) {
            logUnfenced(allocation, End.LOST);
            allocation.markLost(eventLoop.nowMs());
        }
    }

    /** Handles that nothing runs on a machine any more, since its lease has ended or its agent is a new one. */
    void allAttemptsLost(Machine machine) {
        machine.allocationsSnapshot().forEach(this::attemptLost);
    }

    /**
     * Settles the allocations of an agent's attempts that do not run, as far as no response can start them any more:
     * releases those that nothing can start, and retains those to be stopped that a direct call may still start.
     *
     * <p>Called after every current heartbeat of an agent. It shows what the calls answered before have started, and
     * that the responses to earlier heartbeats were executed or lost.
     */
    void settleUnstarted(AgentState agent) {
        Machine machine = agent.machine();
        OutstandingStarts outstanding = agent.outstandingStarts();
        if (machine.fencing().hasUnfenced()) {
            machine.fencing().unfenced().stream()
                    .filter(allocation -> !isStartOutstanding(allocation))
                    .forEach(cluster::release);
        }
        machine.allocations().stream()
                .filter(allocation -> allocation.stopping() && !allocation.observed())
                .toList()
                .forEach(allocation -> settleStopping(allocation, outstanding));
    }

    private void settleStopping(Allocation allocation, OutstandingStarts outstanding) {
        Attempt attempt = Attempts.of(allocation);
        if (!outstanding.isOutstanding(attempt)) {
            cluster.release(allocation);
        } else if (outstanding.isOutstandingOnlyInUnansweredCalls(attempt)) {
            releaseOrRetainUnfenced(allocation, End.NEVER_SEEN);
        }
    }

    private void logUnfenced(Allocation allocation, End end) {
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
