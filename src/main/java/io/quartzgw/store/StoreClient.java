package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import java.util.List;
import java.util.function.Consumer;

/**
 * Client of the state service. It keeps to this controller's share of the service's limits. Every callback is called
 * exactly once, on the event loop's thread, after the method that received it has returned.
 */
public final class StoreClient {
    private static final int DEFAULT_POLL_MS = 20_000;

    private final EventLoop eventLoop;
    private final StoreCodec codec;
    private final StoreLimits share;
    private final RequestQueue requests;
    private final StoreHealth health;

    /** @param share this controller's share of the state service's limits */
    public StoreClient(EventLoop eventLoop, Endpoint endpoint, StoreLimits share) {
        this.eventLoop = eventLoop;
        this.codec = new StoreCodec(endpoint);
        this.share = share;
        this.health = new StoreHealth(eventLoop, this::sendProbe);
        this.requests = new RequestQueue(eventLoop, share, health::record);
    }

    // ---- limits

    /** The current limit on this controller's writes per second. */
    public double writesPerS() {
        return requests.writesPerS();
    }

    /** The maximum number of writes in a transaction. */
    public int maxTransactionWrites() {
        return share.maxTransactionWrites();
    }

    /** The maximum size of a value. */
    public int maxValueBytes() {
        return share.maxValueBytes();
    }

    /**
     * The pause that a caller has to make after a number of writes so that its writes use, on average, at most the
     * given fraction of this controller's share.
     */
    public long writePauseMs(int writeCount, double fraction) {
        return (long) (writeCount * 1000 / (fraction * requests.writesPerS()));
    }

    /** Adds a granted write rate until the given time. It replaces the previous grant. */
    public void applyWriteGrant(double writesPerS, long untilMs) {
        requests.applyWriteGrant(writesPerS, untilMs);
    }

    /**
     * Returns the number of writes submitted since the last call, plus those that were queued at the time of that call.
     */
    public int takeWriteDemand() {
        return requests.takeWriteDemand();
    }

    // ---- health

    /** Whether the state service responds to this controller, according to recent calls. */
    public boolean reachable() {
        return health.reachable();
    }

    /** Whether all calls have failed for longer than the given time. */
    public boolean failingLongerThan(long durationMs) {
        return health.failingLongerThan(durationMs);
    }

    /** Whether the state service has responded to any call within the given time. */
    public boolean respondedWithin(long durationMs) {
        return health.respondedWithin(durationMs);
    }

    private void sendProbe(Runnable onReply) {
        submitRead(codec.probeRequest(), RequestUrgency.HIGH, reply -> onReply.run());
    }

    // ---- reads

    /** Reads one key. */
    public void read(String key, Consumer<ReadResult> callback) {
        submitRead(
                codec.readRequest(key), RequestUrgency.NORMAL, reply -> callback.accept(StoreCodec.decodeRead(reply)));
    }

    /**
     * All keys with a prefix.
     *
     * @param revision the lowest store revision of all pages, from which a watch misses no change
     * @param readAtMs when the first page was requested; all changes made before then are included
     */
    public record Listing(List<KeyValue> entries, long revision, long readAtMs) {}

    /** Reads all keys with a prefix, page by page. */
    public void listPrefix(String prefix, Consumer<ListResult> callback) {
        new PrefixReader(eventLoop, requests, codec, prefix, callback).start();
    }

    // ---- transactions

    /**
     * Sends a transaction. Without a response the outcome is reported as unknown and must not be treated as a failure.
     */
    public void commit(Transaction transaction, RequestUrgency urgency, Consumer<TransactionOutcome> callback) {
        requests.submit(
                codec.transactionRequest(transaction),
                transaction.writeCount(),
                urgency,
                reply -> callback.accept(StoreCodec.decodeOutcome(reply)));
    }

    // ---- leases

    /** Requests a lease. Keys attached to it are deleted when it expires. */
    public void grantLease(long ttlMs, Consumer<LeaseGrant> callback) {
        submitRead(
                codec.leaseRequest(ttlMs),
                RequestUrgency.ELECTION,
                reply -> callback.accept(StoreCodec.decodeLease(reply)));
    }

    /** Renews a lease for its full time to live. */
    public void renewLease(long leaseId, Consumer<LeaseRenewal> callback) {
        submitRead(
                codec.renewalRequest(leaseId),
                RequestUrgency.ELECTION,
                reply -> callback.accept(StoreCodec.decodeRenewal(reply)));
    }

    /** Revokes a lease. If the request is lost, the lease expires at the end of its time to live. */
    public void revokeLease(long leaseId) {
        submitRead(codec.revocationRequest(leaseId), RequestUrgency.ELECTION, reply -> {});
    }

    // ---- watches

    /** Receives the changes under a prefix while it is active. */
    public interface Watcher {
        /** Whether the watch continues. */
        boolean active();

        /** All changes up to the revision, and so all changes made before {@code readAtMs}, have been delivered. */
        default void onCaughtUp(long revision, long readAtMs) {}

        /** How long the state service may wait for a change before it returns an empty response. */
        default long pollMs() {
            return DEFAULT_POLL_MS;
        }

        /** Receives one or more changes, in the order of their revisions. */
        void onChanges(List<KeyChange> changes);

        /** Changes were missed, and the watch has ended. The whole prefix must be read again. */
        void onCompacted();
    }

    /**
     * Watches a prefix from a revision until the watcher is no longer active, or the state service has compacted
     * changes after the revision.
     *
     * @param readAtMs a time such that the revision includes all changes made before it
     */
    public void watch(String prefix, long fromRevision, long readAtMs, Watcher watcher) {
        new PrefixWatch(eventLoop, requests, codec, prefix, watcher).poll(fromRevision, readAtMs);
    }

    private void submitRead(Call call, RequestUrgency urgency, Consumer<Reply> callback) {
        requests.submit(call, 0, urgency, callback);
    }
}
