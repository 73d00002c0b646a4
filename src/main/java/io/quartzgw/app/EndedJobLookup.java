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
    private final long retryMs;

    EndedJobLookup(
            EventLoop eventLoop, JobStore jobs, CancellationRegistry cancellations, LeaderTerm term, long retryMs) {
        this.eventLoop = eventLoop;
        this.jobs = jobs;
        this.cancellations = cancellations;
        this.term = term;
        this.retryMs = retryMs;
    }

    @Override
    public void lookUp(String job, Consumer<End> onEnd) {
        if (cancellations.contains(job)) {
            onEnd.accept(cancelled(job));
        } else if (term.isCurrent()) {
            jobs.lookUp(job, result -> onResult(job, result, onEnd));
        }
    }

    private End cancelled(String job) {
        return new End.Cancelled(cancellations.cancelledAtMs(job));
    }

    private void onResult(String job, JobStore.LookupResult result, Consumer<End> onEnd) {
        if (result instanceof JobStore.LookupResult.Terminal terminal) {
            onEnd.accept(terminal.state().cancelled() ? cancelled(job) : new End.Done());
        } else if (result instanceof JobStore.LookupResult.NotFound) {
            // No record says that the job completed, so its tasks must not be started.
            onEnd.accept(cancelled(job));
        } else {
            eventLoop.after(retryMs, () -> lookUp(job, onEnd));
        }
    }
}
