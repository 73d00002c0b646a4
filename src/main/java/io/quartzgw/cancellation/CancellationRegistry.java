package io.quartzgw.cancellation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The jobs that a user was told are cancelled, here or at another controller. Every controller keeps them all, whoever
 * leads, and names them to the others until the job's tasks are gone: so a cancellation outlives the controller that
 * told it, and a new leader knows it before it has read anything.
 */
public final class CancellationRegistry {
    private static final String CANCELLED_FIELD = "cancelled";
    private static final String COMPLETE_FIELD = "cancelled_whole";
    /** A cancelled job's tasks are gone after the limit; it is named for longer, as clocks and messages are. */
    private static final double ANNOUNCED_LIMITS = 1.5;
    /** Kept for longer than named: a name that comes back from another controller must not be new again. */
    private static final double RETAINED_LIMITS = 4;
    /** At 24 bytes each, with the age, a message stays below 64 KiB beside all else that it says. */
    private static final int MAX_ANNOUNCED = 1_500;

    private final EventLoop eventLoop;
    private final long announcedMs;
    private final long retainedMs;
    private final Map<String, Long> cancelledAt = new LinkedHashMap<>();
    private Consumer<String> listener = job -> {};

    /** @param cancelMs how long after a cancellation its tasks may still run */
    public CancellationRegistry(EventLoop eventLoop, long cancelMs) {
        this.eventLoop = eventLoop;
        this.announcedMs = (long) (ANNOUNCED_LIMITS * cancelMs);
        this.retainedMs = (long) (RETAINED_LIMITS * cancelMs);
    }

    /** @param listener hears of each job that becomes known as cancelled */
    public void listener(Consumer<String> listener) {
        this.listener = listener;
    }

    public boolean contains(String job) {
        return cancelledAt.containsKey(job);
    }

    public boolean isEmpty() {
        return cancelledAt.isEmpty();
    }

    /**
     * Notes that a job is cancelled, before a user is told so; says whether that is new here. Any answer may be the
     * first that reaches the user: the one to the abort, to a poll, or to a repeated submission.
     */
    public boolean record(String job) {
        return record(job, 0);
    }

    private boolean record(String job, long ageMs) {
        expire();
        if (ageMs >= retainedMs || cancelledAt.putIfAbsent(job, eventLoop.nowMs() - ageMs) != null) {
            return false;
        }
        listener.accept(job);
        return true;
    }

    private void expire() {
        // Nearly in the order of their times: those from other controllers are a little older.
        Iterator<Long> oldest = cancelledAt.values().iterator();
        while (oldest.hasNext() && eventLoop.nowMs() - oldest.next() > retainedMs) {
            oldest.remove();
        }
    }

    // ---- between controllers

    /** Puts the names into a message, each with how long ago it was told. */
    public void writeTo(ObjectNode message) {
        expire();
        ObjectNode announced = Json.object();
        boolean complete = true;
        for (Map.Entry<String, Long> entry : cancelledAt.entrySet()) {
            long age = eventLoop.nowMs() - entry.getValue();
            if (age < announcedMs) {
                complete = announced.size() < MAX_ANNOUNCED;
                if (!complete) {
                    break;
                }
                announced.put(entry.getKey(), age);
            }
        }
        message.set(CANCELLED_FIELD, announced);
        message.put(COMPLETE_FIELD, complete);
    }

    /** How many jobs a message names. */
    public static int announcedCount(JsonNode message) {
        return message.path(CANCELLED_FIELD).size();
    }

    /**
     * Takes the names from a message, however late it comes: a cancellation stays true.
     *
     * @return whether the message names all that its sender has to name
     */
    public boolean readFrom(JsonNode message) {
        message.path(CANCELLED_FIELD)
                .properties()
                .forEach(entry ->
                        record(entry.getKey(), Math.max(0, entry.getValue().asLong())));
        return message.path(COMPLETE_FIELD).asBoolean();
    }
}
