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
 * What the leader knows of one agent beyond its liveness: the attempts that the agent reports, the starts that are
 * outstanding, and the direct call in flight.
 */
final class AgentState {
    private static final byte[] NO_TASK_LIST = new byte[0];
    /** Long before any time that the event loop's clock shows. */
    private static final long DISTANT_PAST_MS = Long.MIN_VALUE / 2;

    private final Machine machine;
    private final AgentToken token;
    private final OutstandingStarts outstandingStarts = new OutstandingStarts();
    /** Attempts that have ended and that the agent still reports. */
    private final Set<Attempt> exited = new HashSet<>();
    /** Exited attempts that the agent may forget, since their outcome is in the state service. */
    private final Set<Attempt> removable = new HashSet<>();
    /** Exited attempts whose task has not completed and has to be started again. */
    private final Set<Attempt> unfinished = new HashSet<>();
    /** Attempts that run without an allocation and have to be stopped. */
    private final Set<Attempt> orphans = new HashSet<>();

    private byte[] lastTaskList = NO_TASK_LIST;
    private boolean callInFlight;
    private long callSentAtMs = DISTANT_PAST_MS;
    /** The newest current heartbeat when the last direct call was sent. */
    private HeartbeatId latestHeartbeatAtCall;

    private long lastContactMs = DISTANT_PAST_MS;

    /** @param term the number of this leader's term */
    AgentState(Machine machine, long term) {
        this.machine = machine;
        this.token = new AgentToken(term);
        this.latestHeartbeatAtCall = machine.liveness().latestHeartbeat();
    }

    /** Returns the machine that the agent runs on. */
    Machine machine() {
        return machine;
    }

    /** Returns the fencing token of the agent. */
    AgentToken token() {
        return token;
    }

    /** Returns the starts that the agent may still execute. */
    OutstandingStarts outstandingStarts() {
        return outstandingStarts;
    }

    // ---- attempts

    /** Stores a task list and returns whether it differs from the one that was stored before. */
    boolean replaceTaskList(byte[] taskList) {
        boolean changed = !Arrays.equals(lastTaskList, taskList);
        lastTaskList = taskList;
        return changed;
    }

    /** Forgets the exited and orphaned attempts, before those of a changed task list are added. */
    void beginTaskList() {
        exited.clear();
        unfinished.clear();
        orphans.clear();
    }

    /** Forgets the removable attempts that are not in the task list any more. */
    void endTaskList() {
        removable.retainAll(exited);
    }

    /** Records that the agent reports an attempt that has ended. */
    void addExited(Attempt attempt) {
        exited.add(attempt);
    }

    /** Records that the task of an exited attempt has to be started again. */
    void addUnfinished(Attempt attempt) {
        unfinished.add(attempt);
    }

    /** Records that the agent may forget an exited attempt. */
    void addRemovable(Attempt attempt) {
        removable.add(attempt);
    }

    /** Records that an attempt runs without an allocation. */
    void addOrphan(Attempt attempt) {
        orphans.add(attempt);
    }

    /** Returns the exited attempts of a job. */
    List<Attempt> exitedAttempts(String job) {
        return exited.stream().filter(attempt -> attempt.job().equals(job)).toList();
    }

    /** Returns the attempts that the agent may forget. */
    Collection<Attempt> removable() {
        return Collections.unmodifiableCollection(removable);
    }

    /** Returns the attempts that run without an allocation. */
    Collection<Attempt> orphans() {
        return Collections.unmodifiableCollection(orphans);
    }

    /**
     * Returns the jobs whose tasks the agent would refuse: it takes no other attempt of a task while it knows one, and
     * that one can't be removed while its start is outstanding.
     */
    Set<String> refusedJobs() {
        if (outstandingStarts.isEmpty()) {
            return Set.of();
        }
        return unfinished.stream()
                .filter(this::mayStillStart)
                .map(Attempt::job)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether the present agent may still execute a start of an attempt that it does not know. */
    boolean mayStillStart(Attempt attempt) {
        CommandFence agent = new CommandFence(token.shown(), machine.liveness().epoch());
        return outstandingStarts.isOutstandingFor(agent, attempt);
    }

    /** Returns whether the start of an allocation has to be sent. */
    boolean isStartPending(Allocation allocation) {
        return !allocation.observed()
                && !allocation.stopping()
                && !allocation.startWithheld()
                && !(allocation.isLost() && machine.isOverbooked())
                && !allocation.job().isTerminal()
                && !outstandingStarts.isInFlight(Attempts.of(allocation));
    }

    /** Handles a new agent on the same machine: it knows neither tasks nor tokens. */
    void agentReplaced() {
        token.agentReplaced();
        clearTasks();
    }

    /** Handles a new epoch of the agent: it knows no tasks. */
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

    /** Returns whether a direct call is in flight; there is one at a time, so that commands keep their order. */
    boolean callInFlight() {
        return callInFlight;
    }

    /** Records that a direct call with some starts is sent. */
    void directCallSent(List<Attempt> starts, CommandFence fence, long nowMs) {
        callInFlight = true;
        callSentAtMs = nowMs;
        latestHeartbeatAtCall = machine.liveness().latestHeartbeat();
        outstandingStarts.directCallSent(starts, fence);
    }

    /**
     * Records that the direct call has ended.
     *
     * @param settled whether its commands are certainly not executed from now on
     */
    void directCallEnded(boolean settled) {
        callInFlight = false;
        if (settled) {
            outstandingStarts.directCallAnswered();
        } else {
            outstandingStarts.directCallUnanswered();
        }
    }

    /** Handles the reply to the last direct call. */
    void replyReceived() {
        outstandingStarts.replyReceived(callSentAtMs);
    }

    /** Returns whether a reply is older than what was known when its call was sent, as only a new agent's can be. */
    boolean isFromReplacementAgent(Heartbeat reply) {
        return !reply.id().isNewerThan(latestHeartbeatAtCall);
    }

    /** Returns how long ago the agent was last asked for a heartbeat. */
    long msSinceContact(long nowMs) {
        return nowMs - lastContactMs;
    }

    /** Records that the agent is asked for a heartbeat. */
    void recordContact(long nowMs) {
        lastContactMs = nowMs;
    }
}
