package io.quartzgw.app;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.store.Change;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Keeps the leader's open jobs in step with the state service: what it tells, and what other controllers tell. */
final class OpenJobs implements StoreClient.Follower {
    /** How long a follow waits: what it has told is known up to when it was asked. */
    private static final double FOLLOW_REPORTS = 0.6;

    private final Kernel kernel;
    private final StoreClient store;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final CancellationWatermark watermark;
    private final long reportMs;
    private final Predicate<String> knownOver;
    private final Consumer<String> ended;
    private long followedTo = Long.MAX_VALUE;

    /**
     * @param knownOver whether a job is known to have ended, whatever is told of it
     * @param ended told of a job that is over in the state service
     */
    OpenJobs(
            Kernel kernel,
            StoreClient store,
            LeaderTerm term,
            Cluster cluster,
            CancellationWatermark watermark,
            long reportMs,
            Predicate<String> knownOver,
            Consumer<String> ended) {
        this.kernel = kernel;
        this.store = store;
        this.term = term;
        this.cluster = cluster;
        this.watermark = watermark;
        this.reportMs = reportMs;
        this.knownOver = knownOver;
        this.ended = ended;
    }

    /** Takes the notice that a job was accepted. */
    void accepted(OpenJob open) {
        // A notice may be held up and come late, when the job is over already: what the follow has
        // passed, it has told better.
        if (open.revision() > followedTo) {
            add(open);
        }
    }

    // What is known to be over comes no more: a follow or a notice may tell of the acceptance after the end.
    private void add(OpenJob open) {
        if (!knownOver.test(open.spec().id())) {
            cluster.add(open);
        }
    }

    @Override
    public boolean wanted() {
        return term.current();
    }

    @Override
    public void reached(long revision, long at) {
        followedTo = revision;
        watermark.read(at);
    }

    @Override
    public long waitMs() {
        return (long) (FOLLOW_REPORTS * reportMs);
    }

    @Override
    public void changed(List<Change> changes) {
        for (Change change : changes) {
            if (change.value() == null) {
                ended.accept(change.key().substring(JobKeys.OPEN.length()));
            } else {
                add(OpenJob.fromRecord(change.value(), change.revision()));
            }
        }
    }

    @Override
    public void outdated() {
        store.list(JobKeys.OPEN, this::listed);
    }

    private void listed(StoreClient.Listing listing) {
        if (!term.current()) {
            return;
        }
        if (listing == null) {
            kernel.after(reportMs, this::outdated);
            return;
        }
        List<OpenJob> open = listing.entries().stream()
                .map(entry -> OpenJob.fromRecord(entry.value(), entry.revision()))
                .toList();
        endMissing(open, listing.revision());
        open.forEach(this::add);
        store.follow(JobKeys.OPEN, listing.revision(), listing.at(), this);
    }

    // A job that was accepted before the listing and is not in it has ended meanwhile.
    private void endMissing(List<OpenJob> open, long revision) {
        Set<String> ids = open.stream().map(job -> job.spec().id()).collect(Collectors.toSet());
        List<String> missing = cluster.jobs().stream()
                .filter(job -> !job.over() && job.open().revision() <= revision)
                .map(Job::id)
                .filter(id -> !ids.contains(id))
                .toList();
        missing.forEach(ended);
    }
}
