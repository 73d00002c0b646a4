package io.quartzgw.app;

import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.store.KeyChange;
import io.quartzgw.store.ListResult;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.JobRecordCodec;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Keeps the leader's open jobs in sync with the state service, through a watch and other controllers' notices. */
final class OpenJobWatcher implements StoreClient.Watcher {
    /**
     * Timeout of one poll of the watch, in heartbeat intervals. A response is only complete up to the time at which its
     * poll was sent.
     */
    private static final double POLL_TIMEOUT_HEARTBEATS = 0.6;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final CancellationWatermark watermark;
    private final long heartbeatMs;
    private final JobEvents events;
    private long watchedRevision = Long.MAX_VALUE;

    /**
     * Callbacks to the leader.
     *
     * @param isKnownTerminal whether a job is known to be cancelled or completed, even if an older read shows it open
     * @param onTerminal receives the ID of each job that is terminal in the state service
     */
    record JobEvents(Predicate<String> isKnownTerminal, Consumer<String> onTerminal) {}

    OpenJobWatcher(
            EventLoop eventLoop,
            StoreClient store,
            LeaderTerm term,
            ClusterState cluster,
            CancellationWatermark watermark,
            long heartbeatMs,
            JobEvents events) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
        this.cluster = cluster;
        this.watermark = watermark;
        this.heartbeatMs = heartbeatMs;
        this.events = events;
    }

    /** Adds a job that this controller or, according to its notice, another one has accepted. */
    void jobAccepted(OpenJob job) {
        // The job may have become terminal before a delayed notice arrives: the notice is ignored if the watch has
        // already delivered the job's revision.
        if (job.revision() > watchedRevision) {
            add(job);
        }
    }

    // The watch or a notice may deliver the acceptance of a job after its terminal state is known.
    private void add(OpenJob job) {
        if (!events.isKnownTerminal().test(job.spec().id())) {
            cluster.add(job);
        }
    }

    @Override
    public boolean active() {
        return term.isCurrent();
    }

    @Override
    public void onCaughtUp(long revision, long readAt) {
        watchedRevision = revision;
        watermark.recordStoreRead(readAt);
    }

    @Override
    public long pollMs() {
        return (long) (POLL_TIMEOUT_HEARTBEATS * heartbeatMs);
    }

    @Override
    public void onChanges(List<KeyChange> changes) {
        for (KeyChange change : changes) {
            change.newValue()
                    .ifPresentOrElse(
                            record -> add(JobRecordCodec.decodeOpen(record, change.revision())),
                            () -> events.onTerminal().accept(change.key().substring(JobKeys.OPEN_PREFIX.length())));
        }
    }

    @Override
    public void onCompacted() {
        store.listPrefix(JobKeys.OPEN_PREFIX, this::onListed);
    }

    private void onListed(ListResult result) {
        if (!term.isCurrent()) {
            return;
        }
        if (result instanceof ListResult.Listed listed) {
            applyListing(listed.listing());
        } else {
            eventLoop.after(heartbeatMs, this::onCompacted);
        }
    }

    private void applyListing(StoreClient.Listing listing) {
        List<OpenJob> open = listing.entries().stream()
                .map(entry -> JobRecordCodec.decodeOpen(entry.value(), entry.revision()))
                .toList();
        terminateMissing(open, listing.revision());
        open.forEach(this::add);
        store.watch(JobKeys.OPEN_PREFIX, listing.revision(), listing.readAtMs(), this);
    }

    // A job that was accepted before the listing and is missing from it has become terminal in the meantime.
    private void terminateMissing(List<OpenJob> open, long revision) {
        Set<String> ids = open.stream().map(job -> job.spec().id()).collect(Collectors.toSet());
        List<String> missing = cluster.jobs().stream()
                .filter(job -> !job.isTerminal() && job.open().revision() <= revision)
                .map(Job::id)
                .filter(id -> !ids.contains(id))
                .toList();
        missing.forEach(events.onTerminal());
    }
}
