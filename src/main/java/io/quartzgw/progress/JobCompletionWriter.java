package io.quartzgw.progress;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.scheduling.Job;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import io.quartzgw.store.TransactionOutcome;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.JobRecordCodec;
import io.quartzgw.submission.TerminalState;
import java.util.HashSet;
import java.util.Set;

/**
 * Writes the completion of jobs, and retries until the outcome is known. Each write requires the leader's term and the
 * revision of the open job, so that a job enters a terminal state only once.
 */
final class JobCompletionWriter {
    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final long retryDelayMs;
    private final ProgressRecorder.Listener listener;
    /** Jobs whose completion is being written or waits for a retry. */
    private final Set<Job> completing = new HashSet<>();

    /** @param retryDelayMs the delay before a retry */
    JobCompletionWriter(
            EventLoop eventLoop,
            StoreClient store,
            LeaderTerm term,
            long retryDelayMs,
            ProgressRecorder.Listener listener) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
        this.retryDelayMs = retryDelayMs;
        this.listener = listener;
    }

    /** Writes the completion of a job, unless that write is pending or the job has ended. */
    void complete(Job job) {
        if (!job.isTerminal() && completing.add(job)) {
            write(job);
        }
    }

    private void write(Job job) {
        if (!term.isCurrent() || job.isTerminal()) {
            completing.remove(job);
            return;
        }
        if (!term.isConfirmed()) {
            retry(job);
            return;
        }
        TerminalState terminalState = new TerminalState(false, job.spec().tasks());
        Transaction transaction = new Transaction()
                .require(Leadership.TERM_KEY, term.termRevision())
                .require(JobKeys.open(job.id()), job.open().revision())
                .delete(JobKeys.open(job.id()))
                .put(JobKeys.terminal(job.id()), JobRecordCodec.encodeTerminal(terminalState));
        store.commit(transaction, RequestUrgency.HIGH, outcome -> onOutcome(job, terminalState, outcome));
    }

    private void onOutcome(Job job, TerminalState terminalState, TransactionOutcome outcome) {
        if (!term.isCurrent()) {
            return;
        }
        if (outcome instanceof TransactionOutcome.Committed) {
            completing.remove(job);
            listener.jobCompleted(job, terminalState);
        } else if (outcome instanceof TransactionOutcome.Conflict conflict
                && conflict.failedKeys().contains(JobKeys.open(job.id()))) {
            completing.remove(job);
            listener.jobNoLongerOpen(job);
        } else {
            retry(job);
        }
    }

    private void retry(Job job) {
        eventLoop.after(retryDelayMs, () -> write(job));
    }
}
