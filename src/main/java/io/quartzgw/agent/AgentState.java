package io.quartzgw.agent;

import io.quartzgw.scheduling.Machine;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/** What the leader has under way with one worker. */
final class AgentState {
    final Machine machine;
    /** Ended attempts that the worker still reports. */
    final Set<Attempt> exited = new HashSet<>();
    /** Of those, the attempts that may be removed: what came of them is in the state service. */
    final Set<Attempt> removable = new HashSet<>();
    /** Of the ended ones, the attempts whose task has not completed: it is to be started again. */
    final Set<Attempt> unfinished = new HashSet<>();
    /** The starts that the worker may still execute. */
    final OutstandingStarts outstandingStarts = new OutstandingStarts();
    /** Attempts to be stopped that the leader has no place for. */
    final Set<Attempt> orphans = new HashSet<>();
    /** Whether a direct order is under way; there is one at a time, so that orders keep their order. */
    boolean callInFlight;
    /** What the worker had told, of its session and counter, when the direct order under way was sent. */
    long epochAtCall;

    long sequenceAtCall;
    /** When the worker was last asked for its report. */
    long contactedAt = Long.MIN_VALUE / 2;

    private byte[] lastTaskList = new byte[0];

    AgentState(Machine machine) {
        this.machine = machine;
    }

    /** Whether a list of tasks differs from the last one that was applied; from now on this is the last one. */
    boolean replaceTaskList(byte[] taskList) {
        boolean changed = !Arrays.equals(lastTaskList, taskList);
        lastTaskList = taskList;
        return changed;
    }

    /** The jobs of tasks that the worker refuses, since it has to know a former attempt for a while yet. */
    Set<String> refusedJobs() {
        if (outstandingStarts.isEmpty()) {
            return Set.of();
        }
        return unfinished.stream()
                .filter(outstandingStarts::mayArrive)
                .map(Attempt::job)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** The worker has begun another session: it has forgotten everything, and refuses what names the old one. */
    void epochEnded() {
        forgetTasks();
        outstandingStarts.epochEnded();
    }

    /** The machine has a new worker, which knows nothing. */
    void agentReplaced() {
        forgetTasks();
        outstandingStarts.agentReplaced();
    }

    private void forgetTasks() {
        lastTaskList = new byte[0];
        exited.clear();
        unfinished.clear();
        removable.clear();
        orphans.clear();
    }
}
