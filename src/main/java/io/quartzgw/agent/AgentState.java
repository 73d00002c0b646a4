package io.quartzgw.agent;

import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.Machine;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The leader's state of one agent, apart from its liveness: the attempts that the agent reports, the outstanding starts
 * and the direct call in flight.
 */
final class AgentState {
    private static final byte[] NO_TASK_LIST = new byte[0];
    /** Precedes every time of the event loop's clock; half the range, so that differences do not overflow. */
    private static final long DISTANT_PAST_MS = Long.MIN_VALUE / 2;

    private final Machine machine;
    private final AgentToken token;
    private final OutstandingStarts outstandingStarts = new OutstandingStarts();
    /** Ended attempts that the agent still reports. */
    private final Set<Attempt> exited = new HashSet<>();
    /** Exited attempts that the agent may remove, because their outcome is recorded or needs no record. */
    private final Set<Attempt> removable = new HashSet<>();
    /** Exited attempts whose task is not completed and must be started again. */
    private final Set<Attempt> unfinished = new HashSet<>();
    /** Attempts that run without an allocation and must be stopped. */
    private final Set<Attempt> orphans = new HashSet<>();

    private byte[] lastTaskList = NO_TASK_LIST;
    private boolean callInFlight;
    private long callSentAtMs = DISTANT_PAST_MS;
    /** The newest current heartbeat at the time when the last direct call was sent. */
    private HeartbeatId latestHeartbeatAtCall;

    private long lastContactMs = DISTANT_PAST_MS;

    /** @param term the number of this leader's term */
    AgentState(Machine machine, long term) {
        this.machine = machine;
        this.token = new AgentToken(term);
        this.latestHeartbeatAtCall = machine.liveness().latestHeartbeat();
    }

    Machine machine() {
        return machine;
    }

    AgentToken token() {
        return token;
    }

    /** Returns the starts that agents of the machine may still execute. */
    OutstandingStarts outstandingStarts() {
        return outstandingStarts;
    }

    // ---- attempts

    /** Stores a task list and returns whether it differs from the previous one. */
    boolean replaceTaskList(byte[] taskList) {
        boolean changed = !Arrays.equals(lastTaskList, taskList);
        lastTaskList = taskList;
        return changed;
    }

    /** Clears the exited and orphaned attempts before those of a changed task list are added. */
    void beginTaskList() {
        exited.clear();
        unfinished.clear();
        orphans.clear();
    }

    /** Drops the removable attempts and the executed starts that are no longer in the task list. */
    void endTaskList(Set<Attempt> reported) {
        removable.retainAll(exited);
        outstandingStarts.retainExecuted(start -> reported.contains(start) || isAllocated(start));
    }

    private boolean isAllocated(Attempt attempt) {
        Allocation allocation = machine.allocation(attempt.task());
        return allocation != null && allocation.attempt() == attempt.number();
    }

    /** Records that the agent reports an attempt that has ended. */
    void addExited(Attempt attempt) {
        exited.add(attempt);
    }

    /** Records that the task of an exited attempt must be started again. */
    void addUnfinished(Attempt attempt) {
        unfinished.add(attempt);
    }

    /** Records that the agent may remove an exited attempt. */
    void addRemovable(Attempt attempt) {
        removable.add(attempt);
    }

    /** Records that an attempt runs without an allocation. */
    void addOrphan(Attempt attempt) {
        orphans.add(attempt);
    }

    List<Attempt> exitedAttempts(String job) {
        return exited.stream().filter(attempt -> attempt.job().equals(job)).toList();
    }

    /** Returns the exited attempts that the agent may remove. */
    Collection<Attempt> removable() {
        return Collections.unmodifiableCollection(removable);
    }

    /** Returns the attempts that run without an allocation. */
    Collection<Attempt> orphans() {
        return Collections.unmodifiableCollection(orphans);
    }

    /** Returns whether the task of an exited attempt must be started again. */
    boolean isUnfinished(Attempt attempt) {
        return unfinished.contains(attempt);
    }

    /**
     * Returns the jobs whose tasks the agent would refuse. An agent accepts no further attempt of a task while it still
     * holds an earlier one, and that one must not be removed while its start may be executed again.
     */
    Set<String> refusedJobs() {
        return unfinished.stream()
                .filter(attempt -> mayStillStart(attempt) || isRemovalDeferred(attempt))
                .map(Attempt::job)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns whether the removal of an attempt has to wait for a higher token: after a removal with the present one,
     * an executed direct call that arrives once more would start the attempt again.
     */
    boolean isRemovalDeferred(Attempt attempt) {
        return outstandingStarts.isRepeatable(attempt, token.current());
    }

    /**
     * Returns whether the current agent may still execute a start of the attempt, once it no longer holds the attempt.
     */
    boolean mayStillStart(Attempt attempt) {
        CommandFence agent = new CommandFence(token.shown(), machine.liveness().epoch());
        return outstandingStarts.isOutstandingFor(agent, attempt);
    }

    /**
     * Returns whether an executed direct call that arrives once more may start an attempt that the present agent does
     * not hold, as after the agent was replaced. The agent rejects the call once it has shown a higher token.
     */
    boolean mayRepeatStart(Attempt attempt) {
        return outstandingStarts.isRepeatable(attempt, token.shown());
    }

    /** Returns whether the start of an allocation must still be sent. */
    boolean isStartPending(Allocation allocation) {
        return !allocation.observed()
                && !allocation.stopping()
                && !allocation.startWithheld()
                && !(allocation.isLost() && machine.isOvercommitted())
                && !allocation.job().isTerminal()
                && !outstandingStarts.isInFlight(Attempts.of(allocation));
    }

    /** Handles a replacement agent on the same machine, which has no tasks and has seen no token. */
    void agentReplaced(long nowMs) {
        token.agentReplaced();
        if (outstandingStarts.isAnyRepeatable(token.current()) && token.canBeRaised()) {
            token.raise(AgentToken.RaiseReason.AGENT_REPLACED, nowMs);
        }
        clearTasks();
    }

    /** Handles a new epoch of the agent, in which it has no tasks. */
    void epochChanged() {
        outstandingStarts.epochChanged();
        clearTasks();
    }

    private void clearTasks() {
        lastTaskList = NO_TASK_LIST;
        exited.clear();
        unfinished.clear();
        removable.clear();
        orphans.clear();
    }

    // ---- direct calls

    /** Returns whether a direct call is in flight; at most one is, so that commands keep their order. */
    boolean callInFlight() {
        return callInFlight;
    }

    /** Records that a direct call is sent, with the starts that it contains. */
    void directCallSent(List<Attempt> starts, CommandFence fence, long nowMs) {
        callInFlight = true;
        callSentAtMs = nowMs;
        latestHeartbeatAtCall = machine.liveness().latestHeartbeat();
        outstandingStarts.directCallSent(starts, fence);
    }

    /** Records that the direct call has ended. */
    void directCallEnded(CallOutcome outcome) {
        callInFlight = false;
        switch (outcome) {
            case EXECUTED -> outstandingStarts.directCallExecuted();
            case REJECTED, NOT_SENT -> outstandingStarts.directCallNotExecuted();
            default -> outstandingStarts.directCallUnanswered();
        }
    }

    /** Handles the reply to the last direct call. */
    void replyReceived() {
        outstandingStarts.replyReceived(callSentAtMs);
    }

    /**
     * Returns whether a reply to a direct call comes from a replacement agent. Only such a reply can be no newer than
     * the newest heartbeat at the time when the call was sent.
     */
    boolean isFromReplacementAgent(Heartbeat reply) {
        return !reply.id().isNewerThan(latestHeartbeatAtCall);
    }

    /** Returns the time since the agent was last sent a request for a heartbeat. */
    long msSinceContact(long nowMs) {
        return nowMs - lastContactMs;
    }

    /** Records that a request for a heartbeat is sent to the agent. */
    void recordContact(long nowMs) {
        lastContactMs = nowMs;
    }
}
