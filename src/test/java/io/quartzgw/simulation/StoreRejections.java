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
 * A fault in which the state service rejects the requests of some controllers and serves the others. Responses to
 * watches that a rejected controller opened earlier are delayed until the fault ends.
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

    /** Passes a request on to the state service, or rejects it if its sender is rejected. */
    void handle(String from, Call call, long now, Consumer<Reply> onReply) {
        if (rejected.contains(from)) {
            onReply.accept(SimulatedStore.unavailable());
            return;
        }
        store.handle(call, now, reply -> {
            if (rejected.contains(from)) {
                // The request was sent before the fault began: it is an open watch.
                delayedResponses.computeIfAbsent(from, key -> new ArrayList<>()).add(() -> onReply.accept(reply));
            } else {
                onReply.accept(reply);
            }
        });
    }
}
