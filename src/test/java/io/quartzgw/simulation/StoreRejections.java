package io.quartzgw.simulation;

import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A fault of the state service towards single controllers: it rejects their requests while it serves the others. The
 * responses to watches that such a controller had open wait until the fault is over.
 */
final class StoreRejections {
    private final SimulatedStore store;
    private final Set<String> rejected = new HashSet<>();
    private final Map<String, List<Runnable>> delayedResponses = new HashMap<>();

    StoreRejections(SimulatedStore store) {
        this.store = store;
    }

    void setRejected(String controller, boolean on) {
        if (on) {
            rejected.add(controller);
        } else {
            rejected.remove(controller);
            List<Runnable> responses = delayedResponses.remove(controller);
            if (responses != null) {
                responses.forEach(Runnable::run);
            }
        }
    }

    /** Serves a request to the state service, unless its sender is rejected. */
    void handle(String from, Call call, long now, Consumer<Reply> onReply) {
        if (rejected.contains(from)) {
            onReply.accept(SimulatedStore.unavailable());
            return;
        }
        store.handle(call, now, reply -> {
            if (rejected.contains(from)) {
                // Sent before the fault began: an open watch.
                delayedResponses.computeIfAbsent(from, key -> new ArrayList<>()).add(() -> onReply.accept(reply));
            } else {
                onReply.accept(reply);
            }
        });
    }
}
