package io.quartzgw.app;

import io.quartzgw.agent.EndedJobs;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.submission.JobStore;
import java.util.function.Consumer;

/** Looks up the terminal states of jobs in the state service, and retries until it responds or the term has ended. */
final class EndedJobLookup implements EndedJobs {
    private final EventLoop eventLoop;
    private final JobStore jobs;
    private final CancellationRegistry cancellations;
    private final LeaderTerm term;
    private final long retryDelayMs;

    EndedJobLookup(
            EventLoop eventLoop,
            JobStore jobs,
            CancellationRegistry cancellations,
            LeaderTerm term,
            long retryDelayMs) {
        this.eventLoop = eventLoop;
        this.jobs = jobs;
        this.cancellations = cancellations;
        this.term = term;
        this.retryDelayMs = retryDelayMs;
    }

    @Override
    public void lookUp(String job, Consumer<Outcome> callback) {
        if (cancellations.contains(job)) {
            callback.accept(cancelled(job));
        } else if (term.isCurrent()) {
            jobs.lookUp(job, result -> onResult(job, result, callback));
        }
    }

    private Outcome cancelled(String job) {
        return new Outcome.Cancelled(cancellations.cancelledAtMs(job));
    }

    private void onResult(String job, JobStore.LookupResult result, Consumer<Outcome> callback) {
        if (result instanceof JobStore.LookupResult.Terminal terminal) {
            callback.accept(terminal.state().cancelled() ? cancelled(job) : new Outcome.Completed());
        } else if (result instanceof JobStore.LookupResult.NotFound) {
            // No record shows that the job completed, so its tasks must not be started.
            callback.accept(cancelled(job));
        } else {
            eventLoop.after(retryDelayMs, () -> lookUp(job, callback));
        }
    }
}
