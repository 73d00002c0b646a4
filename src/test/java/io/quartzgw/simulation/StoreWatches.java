package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The history of changes in the simulated state service, and the open watches (long polls) for further changes. */
final class StoreWatches {
    private static final int GONE = 410;

    private final List<Change> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long compactedTo;
    private boolean paused;

    /**
     * A change of a key.
     *
     * @param value the new value; empty when the key was deleted
     */
    record Change(String key, Optional<JsonNode> value, long revision) {}

    /** A request for all changes of keys with a prefix after a revision; at its deadline it gets an empty response. */
    record Watch(String prefix, long sinceRevision, long deadline, Consumer<Reply> onReply) {}

    /** The revision of the state service, which is incremented by each change: a transaction or the end of a lease. */
    long revision() {
        return revision;
    }

    /** Begins the next revision, and returns it. */
    long nextRevision() {
        return ++revision;
    }

    /** Records a change at the current revision. */
    void add(String key, Optional<JsonNode> value) {
        history.add(new Change(key, value, revision));
    }

    /** Discards the history; watches from an earlier revision are rejected. */
    void compact() {
        history.clear();
        compactedTo = revision;
    }

    /** Pauses or resumes watches; while paused, none gets a response. */
    void setPaused(boolean on) {
        paused = on;
    }

    /** Ends all open watches with an error. */
    void abort(Reply error) {
        List<Watch> open = List.copyOf(watches);
        watches.clear();
        open.forEach(watch -> watch.onReply.accept(error));
    }

    /** Responds to a watch immediately if it has changes, and leaves it open otherwise. */
    void open(Watch watch) {
        if (watch.sinceRevision < compactedTo) {
            watch.onReply.accept(SimulatedStore.reply(GONE, Json.object()));
        } else if (paused || changesFor(watch).isEmpty()) {
            watches.add(watch);
        } else {
            watch.onReply.accept(response(watch));
        }
    }

    /** Responds to the open watches that have changes or have reached their deadline. */
    void advanceTo(long now) {
        if (paused) {
            return;
        }
        for (Watch watch : List.copyOf(watches)) {
            if (!changesFor(watch).isEmpty() || now >= watch.deadline) {
                watches.remove(watch);
                watch.onReply.accept(response(watch));
            }
        }
    }

    private List<Change> changesFor(Watch watch) {
        return history.stream()
                .filter(change -> change.revision > watch.sinceRevision && change.key.startsWith(watch.prefix))
                .toList();
    }

    private Reply response(Watch watch) {
        ObjectNode body = Json.object().put("store_rev", revision);
        ArrayNode changes = body.putArray("news");
        for (Change change : changesFor(watch)) {
            ObjectNode node = changes.addObject()
                    .put(change.value.isPresent() ? "write" : "drop", change.key)
                    .put("key_rev", change.revision);
            change.value.ifPresent(value -> node.set("data", value));
        }
        return SimulatedStore.reply(200, body);
    }
}
