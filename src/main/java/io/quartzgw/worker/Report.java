package io.quartzgw.worker;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.quartzgw.http.Endpoint;
import io.quartzgw.placement.Presence;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What a worker says of its machine. The list of tasks is kept as it came and read only when it differs from the one
 * before: most reports of hundreds of machines say nothing new.
 *
 * @param listing the list of tasks as bytes of JSON, perhaps empty
 */
public record Report(
        String machine,
        Endpoint address,
        String machineType,
        String zone,
        boolean spot,
        long session,
        long counter,
        long token,
        Double reclaimInS,
        byte[] listing) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] NOTHING = new byte[0];

    /** What the worker says of one attempt. */
    public record TaskReport(Attempt attempt, State state, Cause cause) {}

    /** The state of a task as its worker reports it. */
    public enum State {
        FETCHING,
        RUNNING,
        SAVING,
        ENDED
    }

    /** Why an attempt ended. */
    public enum Cause {
        DONE,
        STOPPED,
        ERROR,
        /** Its gang did not come together, or fell apart. */
        GANG,
        /** It was refused: the machine had no room, another attempt, or no such job. */
        REFUSED,
        NONE
    }

    /** The report, or null when the message is none. */
    public static Report read(byte[] message) {
        try (JsonParser parser = JSON.createParser(message)) {
            return read(parser, message);
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    private static Report read(JsonParser parser, byte[] message) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return null;
        }
        String machine = null;
        String address = "";
        String type = "";
        String zone = "";
        boolean spot = false;
        long session = -1;
        long counter = -1;
        long token = 0;
        Double reclaim = null;
        byte[] listing = NOTHING;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (field) {
                case "host" -> machine = value == JsonToken.VALUE_STRING ? parser.getText() : null;
                case "address" -> address = parser.getValueAsString("");
                case "host_type" -> type = parser.getValueAsString("");
                case "yard" -> zone = parser.getValueAsString("");
                case "loaner" -> spot = value == JsonToken.VALUE_TRUE;
                case "tenure" -> session = value == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : -1;
                case "counter" -> counter = value == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : -1;
                case "baton" -> token = parser.getValueAsLong();
                case "reclaim_in_s" -> reclaim = value.isNumeric() ? (Double) parser.getDoubleValue() : null;
                case "shards" -> {
                    if (value == JsonToken.START_ARRAY) {
                        int from = (int) parser.currentTokenLocation().getByteOffset();
                        parser.skipChildren();
                        listing = Arrays.copyOfRange(
                                message, from, (int) parser.currentLocation().getByteOffset());
                    }
                }
                default -> {}
            }
            parser.skipChildren();
        }
        return machine == null || session < 0 || counter < 0
                ? null
                : new Report(
                        machine, Endpoint.parse(address), type, zone, spot, session, counter, token, reclaim, listing);
    }

    /** Whether it is newer than another one of the same machine. */
    boolean newerThan(Report other) {
        return Presence.newer(session, counter, other.session, other.counter);
    }

    /** The tasks of the list; items that are none are left out. */
    List<TaskReport> tasks() {
        List<TaskReport> tasks = new ArrayList<>();
        if (listing.length == 0) {
            return tasks;
        }
        try (JsonParser parser = JSON.createParser(listing)) {
            parser.nextToken();
            for (JsonToken item = parser.nextToken();
                    item != null && item != JsonToken.END_ARRAY;
                    item = parser.nextToken()) {
                TaskReport task = item == JsonToken.START_OBJECT ? task(parser) : null;
                if (task != null) {
                    tasks.add(task);
                }
                parser.skipChildren();
            }
        } catch (IOException e) {
            throw new IllegalStateException("a list that was read before", e);
        }
        return tasks;
    }

    private static TaskReport task(JsonParser parser) throws IOException {
        String name = "";
        long attempt = 0;
        String phase = "";
        String cause = "";
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            parser.nextToken();
            switch (field) {
                case "shard" -> name = parser.getValueAsString("");
                case "try_no" -> attempt = parser.getValueAsLong();
                case "phase" -> phase = parser.getValueAsString("");
                case "exit_cause" -> cause = parser.getValueAsString("");
                default -> parser.skipChildren();
            }
        }
        int slash = name.lastIndexOf('/');
        if (slash <= 0) {
            return null;
        }
        int index;
        try {
            index = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            return null;
        }
        return new TaskReport(new Attempt(name.substring(0, slash), index, attempt), state(phase), cause(cause));
    }

    private static State state(String phase) {
        return switch (phase) {
            // A gang's task that waits for the others does not run yet.
            case "fetching", "gathering" -> State.FETCHING;
            case "flushing" -> State.SAVING;
            case "ended" -> State.ENDED;
            default -> State.RUNNING;
        };
    }

    private static Cause cause(String exit) {
        return switch (exit) {
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "error" -> Cause.ERROR;
            case "peers", "alone" -> Cause.GANG;
            case "no_room", "busy", "unknown" -> Cause.REFUSED;
            default -> Cause.NONE;
        };
    }
}
