package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import java.util.List;
import java.util.function.Consumer;

/**
 * The client of the state store. It stays inside this controller's share of the store's limits, and every callback is
 * called exactly once, on the event loop's thread and never inside the call that it belongs to.
 */
public final class StoreClient {
    private static final int DEFAULT_POLL_MS = 20_000;

    private final EventLoop eventLoop;
    private final StoreCodec codec;
    private final StoreLimits share;
    private final RequestQueue requests;
    private final StoreHealth health;

    /** @param share the part of the state store's limits that this controller may use */
    public StoreClient(EventLoop eventLoop, Endpoint endpoint, StoreLimits share) {
        this.eventLoop = eventLoop;
        this.codec = new StoreCodec(endpoint);
        this.share = share;
        this.health = new StoreHealth(eventLoop, this::sendProbe);
        this.requests = new RequestQueue(eventLoop, share, health::record);
    }

    // ---- limits

    /** How many writes a second this controller may make now. */
    public double writesPerS() {
        return requests.writesPerS();
    }

    /** How many writes a transaction may have. */
    public int maxTransactionWrites() {
        return share.maxTransactionWrites();
    }

    /** How long a value may be. */
    public int maxValueBytes() {
        return share.maxValueBytes();
    }

    /**
     * How long to wait after a number of writes until the same caller's next ones, so that on average they take no more
     * than a fraction of this controller's share.
     */
    public long pauseMsAfter(int writeCount, double fraction) {
        return (long) (writeCount * 1000 / (fraction * requests.writesPerS()));
    }

    /** Grants this controller more writes a second until a moment, in place of the grant before. */
    public void applyWriteGrant(double writesPerS, long untilMs) {
        requests.applyWriteGrant(writesPerS, untilMs);
    }

    /** How many writes were queued or submitted since this method was last called. */
    public int takeWriteDemand() {
        return requests.takeWriteDemand();
    }

    // ---- health

    /** Whether the store answers this controller, judged by recent calls. */
    public boolean reachable() {
        return health.reachable();
    }

    /** Whether all calls have failed for longer than the given time. */
    public boolean failingLongerThan(long durationMs) {
        return health.failingLongerThan(durationMs);
    }

    /** Whether the store has answered any call within the given time. */
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
     * @param revision the revision of the store before the first page was read
     * @param readAt when the first page was requested: all changes made before are included
     */
    public record Listing(List<KeyValue> entries, long revision, long readAt) {}

    /** Reads all keys with a prefix, page by page. */
    public void listPrefix(String prefix, Consumer<ListResult> callback) {
        new PrefixReader(eventLoop, requests, codec, prefix, callback).start();
    }

    // ---- transactions

    /** Sends a transaction; an outcome that is not known is reported as such and must not be taken for a failure. */
    public void commit(Transaction transaction, RequestUrgency urgency, Consumer<TransactionOutcome> callback) {
        requests.submit(
                codec.transactionRequest(transaction),
                transaction.writeCount(),
                urgency,
                reply -> callback.accept(StoreCodec.decodeOutcome(reply)));
    }

    // ---- leases

    /** Requests a lease, to which keys can be attached: they are deleted when it expires. */
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

    /** Ends a lease; if the request is lost, the lease expires by itself. */
    public void revokeLease(long leaseId) {
        submitRead(codec.revocationRequest(leaseId), RequestUrgency.ELECTION, reply -> {});
    }

    // ---- watches

    /** Receives the changes of a prefix until it is no longer active. */
    public interface Watcher {
        /** Whether the watch goes on. */
        boolean active();

        /** All changes up to a revision have been delivered, and so all that were made before a moment. */
        default void caughtUp(long revision, long readAt) {}

        /** How long the store may wait for a change before it answers that there was none. */
        default long pollMs() {
            return DEFAULT_POLL_MS;
        }

        /** Receives changes in the order of their revisions; there is at least one. */
        void onChanges(List<KeyChange> changes);

        /** Changes were missed, and the watch has ended: everything has to be read again. */
        void onCompacted();
    }

    /**
     * Watches a prefix from a revision until the watcher is no longer active, or the store no longer has all changes
     * since the revision.
     *
     * @param readAt a moment before which nothing was changed that the revision lacks
     */
    public void watch(String prefix, long fromRevision, long readAt, Watcher watcher) {
        new PrefixWatch(eventLoop, requests, codec, prefix, watcher).poll(fromRevision, readAt);
    }

    private void submitRead(Call call, RequestUrgency urgency, Consumer<Reply> callback) {
        requests.submit(call, 0, urgency, callback);
    }
}
