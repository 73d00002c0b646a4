package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Reply;
import io.quartzgw.store.StoreCodec.WatchResponse;

/** Polls the changes under a prefix while the watcher is active. An instance serves one watch. */
final class PrefixWatch {
    private static final int RETRY_MS = StoreHealth.UNAVAILABLE_AFTER_MS / 2;

    private final EventLoop eventLoop;
    private final RequestQueue requests;
    private final StoreCodec codec;
    private final String prefix;
    private final StoreClient.Watcher watcher;

    PrefixWatch(
            EventLoop eventLoop, RequestQueue requests, StoreCodec codec, String prefix, StoreClient.Watcher watcher) {
        this.eventLoop = eventLoop;
        this.requests = requests;
        this.codec = codec;
        this.prefix = prefix;
        this.watcher = watcher;
    }

    /** @param caughtUpAtMs a time such that the revision includes all changes made before it */
    void poll(long fromRevision, long caughtUpAtMs) {
        if (!watcher.active()) {
            return;
        }
        watcher.onCaughtUp(fromRevision, caughtUpAtMs);
        long requestedAtMs = eventLoop.nowMs();
        requests.submit(
                codec.watchRequest(prefix, fromRevision, watcher.pollMs()),
                0,
                RequestUrgency.HIGH,
                reply -> onReply(reply, fromRevision, caughtUpAtMs, requestedAtMs));
    }

    private void onReply(Reply reply, long fromRevision, long caughtUpAtMs, long requestedAtMs) {
        if (!watcher.active()) {
            return;
        }
        WatchResponse response = StoreCodec.decodeWatch(reply);
        if (response instanceof WatchResponse.Changes received) {
            if (!received.changes().isEmpty()) {
                watcher.onChanges(received.changes());
            }
            poll(received.revision(), requestedAtMs);
        } else if (response instanceof WatchResponse.Compacted) {
            watcher.onCompacted();
        } else {
            eventLoop.after(RETRY_MS, () -> poll(fromRevision, caughtUpAtMs));
        }
    }
}
