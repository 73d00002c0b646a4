package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads all keys with a prefix, page by page. An instance serves one listing. */
final class PrefixReader {
    private final RequestQueue requests;
    private final StoreCodec codec;
    private final String prefix;
    private final long readAtMs;
    private final Consumer<ListResult> callback;
    private final List<KeyValue> entries = new ArrayList<>();
    private long revision = Long.MAX_VALUE;

    PrefixReader(
            EventLoop eventLoop,
            RequestQueue requests,
            StoreCodec codec,
            String prefix,
            Consumer<ListResult> callback) {
        this.requests = requests;
        this.codec = codec;
        this.prefix = prefix;
        this.readAtMs = eventLoop.nowMs();
        this.callback = callback;
    }

    void start() {
        requestPage(Optional.empty());
    }

    private void requestPage(Optional<String> afterKey) {
        requests.submit(codec.pageRequest(prefix, afterKey), 0, RequestUrgency.HIGH, this::onPage);
    }

    private void onPage(Reply reply) {
        if (!reply.ok()) {
            callback.accept(new ListResult.Unavailable());
            return;
        }
        StoreCodec.Page page = StoreCodec.decodePage(reply);
        entries.addAll(page.entries());
        // Pages may be read at different revisions. A watch from the lowest one delivers all changes made between them,
        // some of them again.
        revision = Math.min(revision, page.revision());
        if (page.more() && !entries.isEmpty()) {
            requestPage(Optional.of(entries.get(entries.size() - 1).key()));
        } else {
            callback.accept(new ListResult.Listed(new StoreClient.Listing(entries, revision, readAtMs)));
        }
    }
}
