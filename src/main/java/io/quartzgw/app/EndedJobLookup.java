package io.quartzgw.app;

import io.quartzgw.agent.EndedJobs;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.submission.JobStore;
import java.util.function.Consumer;

/** Looks up in the state service how jobs have ended, and tries again until that is known or the term has ended. */
final class EndedJobLookup implements EndedJobs {
    private final EventLoop eventLoop;
    private final JobStore jobs;
    private final LeaderTerm term;
    private final long retryMs;

    EndedJobLookup(EventLoop eventLoop, JobStore jobs, LeaderTerm term, long retryMs) {
        this.eventLoop = eventLoop;
        this.jobs = jobs;
        this.term = term;
        this.retryMs = retryMs;
    }

    @Override
    public void lookUp(String job, Consumer<Boolean> isCancelled) {
        if (term.isCurrent()) {
            jobs.lookUp(job, result -> onResult(job, result, isCancelled));
        }
    }

    private void onResult(String job, JobStore.LookupResult result, Consumer<Boolean> isCancelled) {
        if (result instanceof JobStore.LookupResult.Terminal terminal) {
            isCancelled.accept(terminal.state().cancelled());
        } else if (result instanceof JobStore.LookupResult.NotFound) {
            // Nothing tells that it is done, so it must not be started.
            isCancelled.accept(true);
        } else {
            eventLoop.after(retryMs, () -> lookUp(job, isCancelled));
        }
    }
}
