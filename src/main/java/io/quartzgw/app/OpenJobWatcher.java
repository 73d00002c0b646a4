package io.quartzgw.app;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.store.KeyChange;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Keeps the leader's open jobs in step with the state service: what it tells, and what other controllers tell. */
final class OpenJobWatcher implements StoreClient.Watcher {
    /** How long a follow waits: what it has told is known up to when it was asked. */
    private static final double WATCH_HEARTBEATS = 0.6;

    private final EventLoop kernel;
    private final StoreClient store;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final CancellationWatermark watermark;
    private final long reportMs;
    private final Predicate<String> knownTerminal;
    private final Consumer<String> onTerminated;
    private long watchedRevision = Long.MAX_VALUE;

    /**
     * @param knownTerminal whether a job is known to have ended, whatever is told of it
     * @param onTerminated told of a job that is over in the state service
     */
    OpenJobWatcher(
            EventLoop kernel,
            StoreClient store,
            LeaderTerm term,
            ClusterState cluster,
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
        this.knownTerminal = knownOver;
        this.onTerminated = ended;
    }

    /** Takes the notice that a job was accepted. */
    void accepted(OpenJob open) {
        // A notice may be held up and come late, when the job is over already: what the follow has
        // passed, it has told better.
        if (open.revision() > watchedRevision) {
            add(open);
        }
    }

    // What is known to be over comes no more: a follow or a notice may tell of the acceptance after the end.
    private void add(OpenJob open) {
        if (!knownTerminal.test(open.spec().id())) {
            cluster.add(open);
        }
    }

    @Override
    public boolean active() {
        return term.isCurrent();
    }

    @Override
    public void caughtUp(long revision, long at) {
        watchedRevision = revision;
        watermark.storeReadAt(at);
    }

    @Override
    public long pollMs() {
        return (long) (WATCH_HEARTBEATS * reportMs);
    }

    @Override
    public void onChanges(List<KeyChange> changes) {
        for (KeyChange change : changes) {
            if (change.value() == null) {
                onTerminated.accept(change.key().substring(JobKeys.OPEN.length()));
            } else {
                add(OpenJob.fromRecord(change.value(), change.revision()));
            }
        }
    }

    @Override
    public void onCompacted() {
        store.list(JobKeys.OPEN, this::listed);
    }

    private void listed(StoreClient.Listing listing) {
        if (!term.isCurrent()) {
            return;
        }
        if (listing == null) {
            kernel.after(reportMs, this::onCompacted);
            return;
        }
        List<OpenJob> open = listing.entries().stream()
                .map(entry -> OpenJob.fromRecord(entry.value(), entry.revision()))
                .toList();
        terminateMissing(open, listing.revision());
        open.forEach(this::add);
        store.watch(JobKeys.OPEN, listing.revision(), listing.readAt(), this);
    }

    // A job that was accepted before the listing and is not in it has ended meanwhile.
    private void terminateMissing(List<OpenJob> open, long revision) {
        Set<String> ids = open.stream().map(job -> job.spec().id()).collect(Collectors.toSet());
        List<String> missing = cluster.jobs().stream()
                .filter(job -> !job.isTerminal() && job.open().revision() <= revision)
                .map(Job::id)
                .filter(id -> !ids.contains(id))
                .toList();
        missing.forEach(onTerminated);
    }
}
