package io.quartzgw.cancellation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.loop.Kernel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The jobs that a user was told are cancelled, here or at another controller. Every controller keeps them all, whoever
 * leads, and names them to the others until the job's tasks are gone: so a cancellation outlives the controller that
 * told it, and a new leader knows it before it has read anything.
 */
public final class Cancellations {
    private static final String FIELD = "cancelled";
    private static final String WHOLE = "cancelled_whole";
    /** A cancelled job's tasks are gone after the limit; it is named for longer, as clocks and messages are. */
    private static final double NAMED_LIMITS = 1.5;
    /** Kept for longer than named: a name that comes back from another controller must not be new again. */
    private static final double KEPT_LIMITS = 4;
    /** At 24 bytes each, with the age, a message stays below 64 KiB beside all else that it says. */
    private static final int MOST_NAMED = 1_500;

    private final Kernel kernel;
    private final long namedMs;
    private final long keptMs;
    private final Map<String, Long> toldAt = new LinkedHashMap<>();
    private Consumer<String> listener = job -> {};

    /** @param cancelMs how long after a cancellation its tasks may still run */
    public Cancellations(Kernel kernel, long cancelMs) {
        this.kernel = kernel;
        this.namedMs = (long) (NAMED_LIMITS * cancelMs);
        this.keptMs = (long) (KEPT_LIMITS * cancelMs);
    }

    /** @param told hears of each job that becomes known as cancelled */
    public void listener(Consumer<String> told) {
        this.listener = told;
    }

    public boolean knows(String job) {
        return toldAt.containsKey(job);
    }

    public boolean isEmpty() {
        return toldAt.isEmpty();
    }

    /**
     * Notes that a job is cancelled, before a user is told so; says whether that is new here. Any answer may be the
     * first that reaches the user: the one to the abort, to a poll, or to a repeated submission.
     */
    public boolean note(String job) {
        return note(job, 0);
    }

    private boolean note(String job, long ageMs) {
        expire();
        if (ageMs >= keptMs || toldAt.putIfAbsent(job, kernel.now() - ageMs) != null) {
            return false;
        }
        listener.accept(job);
        return true;
    }

    private void expire() {
        // Nearly in the order of their times: those from other controllers are a little older.
        Iterator<Long> oldest = toldAt.values().iterator();
        while (oldest.hasNext() && kernel.now() - oldest.next() > keptMs) {
            oldest.remove();
        }
    }

    // ---- between controllers

    /** Puts the names into a message, each with how long ago it was told. */
    public void tell(ObjectNode message) {
        expire();
        ObjectNode named = Json.object();
        boolean whole = true;
        for (Map.Entry<String, Long> entry : toldAt.entrySet()) {
            long age = kernel.now() - entry.getValue();
            if (age < namedMs) {
                whole = named.size() < MOST_NAMED;
                if (!whole) {
                    break;
                }
                named.put(entry.getKey(), age);
            }
        }
        message.set(FIELD, named);
        message.put(WHOLE, whole);
    }

    /** How many jobs a message names. */
    public static int named(JsonNode message) {
        return message.path(FIELD).size();
    }

    /**
     * Takes the names from a message, however late it comes: a cancellation stays true.
     *
     * @return whether the message names all that its sender has to name
     */
    public boolean take(JsonNode message) {
        message.path(FIELD)
                .properties()
                .forEach(entry ->
                        note(entry.getKey(), Math.max(0, entry.getValue().asLong())));
        return message.path(WHOLE).asBoolean();
    }
}
