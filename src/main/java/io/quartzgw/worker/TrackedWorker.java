package io.quartzgw.worker;

import io.quartzgw.placement.Machine;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/** What the leader has under way with one worker. */
final class TrackedWorker {
    final Machine machine;
    /** Ended attempts that the worker still reports. */
    final Set<Attempt> ended = new HashSet<>();
    /** Of those, the attempts that may be removed: what came of them is in the state service. */
    final Set<Attempt> removable = new HashSet<>();
    /** Of the ended ones, the attempts whose task has not completed: it is to be started again. */
    final Set<Attempt> failed = new HashSet<>();
    /** The starts that the worker may still execute. */
    final OutstandingStarts starts = new OutstandingStarts();
    /** Attempts to be stopped that the leader has no place for. */
    final Set<Attempt> strays = new HashSet<>();
    /** Whether a direct order is under way; there is one at a time, so that orders keep their order. */
    boolean calling;
    /** What the worker had told, of its session and counter, when the direct order under way was sent. */
    long sessionAtCall;

    long counterAtCall;
    /** When the worker was last asked for its report. */
    long contactedAt = Long.MIN_VALUE / 2;

    private byte[] listing = new byte[0];

    TrackedWorker(Machine machine) {
        this.machine = machine;
    }

    /** Whether a list of tasks differs from the last one that was applied; from now on this is the last one. */
    boolean tells(byte[] told) {
        boolean news = !Arrays.equals(listing, told);
        listing = told;
        return news;
    }

    /** The jobs of tasks that the worker refuses, since it has to know a former attempt for a while yet. */
    Set<String> refusedJobs() {
        if (starts.none()) {
            return Set.of();
        }
        return failed.stream().filter(starts::mayArrive).map(Attempt::job).collect(Collectors.toUnmodifiableSet());
    }

    /** The worker has begun another session: it has forgotten everything, and refuses what names the old one. */
    void sessionEnded() {
        forgetTasks();
        starts.sessionEnded();
    }

    /** The machine has a new worker, which knows nothing. */
    void workerReplaced() {
        forgetTasks();
        starts.workerReplaced();
    }

    private void forgetTasks() {
        listing = new byte[0];
        ended.clear();
        failed.clear();
        removable.clear();
        strays.clear();
    }
}
