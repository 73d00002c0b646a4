package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Reply;
import io.quartzgw.store.StoreCodec.WatchResponse;

/** Polls the changes of a prefix for one watcher, for as long as that is active; one object a watch. */
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

    /** @param caughtUpAt a moment before which nothing was changed that the revision lacks */
    void poll(long fromRevision, long caughtUpAt) {
        if (!watcher.active()) {
            return;
        }
        watcher.caughtUp(fromRevision, caughtUpAt);
        long requestedAt = eventLoop.nowMs();
        requests.submit(
                codec.watchRequest(prefix, fromRevision, watcher.pollMs()),
                0,
                RequestUrgency.HIGH,
                reply -> onReply(reply, fromRevision, caughtUpAt, requestedAt));
    }

    private void onReply(Reply reply, long fromRevision, long caughtUpAt, long requestedAt) {
        if (!watcher.active()) {
            return;
        }
        WatchResponse response = StoreCodec.decodeWatch(reply);
        if (response instanceof WatchResponse.Changes news) {
            if (!news.changes().isEmpty()) {
                watcher.onChanges(news.changes());
            }
            poll(news.revision(), requestedAt);
        } else if (response instanceof WatchResponse.Compacted) {
            watcher.onCompacted();
        } else {
            eventLoop.after(RETRY_MS, () -> poll(fromRevision, caughtUpAt));
        }
    }
}
