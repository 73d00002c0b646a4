package io.quartzgw.agent;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.AgentLiveness;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What a worker says of its machine. The list of tasks is kept as it came and read only when it differs from the one
 * before: most reports of hundreds of machines say nothing new.
 *
 * @param taskList the list of tasks as bytes of JSON, perhaps empty
 */
public record Heartbeat(
        String machine,
        Endpoint address,
        String machineType,
        String zone,
        boolean spot,
        long epoch,
        long sequence,
        long fencingToken,
        Double reclaimInS,
        byte[] taskList) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] NO_TASKS = new byte[0];

    /** What the worker says of one attempt. */
    public record TaskStatus(Attempt attempt, TaskState state, ExitCause cause) {}

    /** The state of a task as its worker reports it. */
    public enum TaskState {
        FETCHING,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitCause {
        DONE,
        STOPPED,
        ERROR,
        /** Its gang did not come together, or fell apart. */
        GANG_FAILED,
        /** It was refused: the machine had no room, another attempt, or no such job. */
        REFUSED,
        NONE
    }

    /** The report, or null when the message is none. */
    public static Heartbeat read(byte[] message) {
        try (JsonParser parser = JSON.createParser(message)) {
            return read(parser, message);
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    private static Heartbeat read(JsonParser parser, byte[] message) throws IOException {
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
        byte[] listing = NO_TASKS;
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
                : new Heartbeat(
                        machine, Endpoint.parse(address), type, zone, spot, session, counter, token, reclaim, listing);
    }

    /** Whether it is newer than another one of the same machine. */
    boolean isNewerThan(Heartbeat other) {
        return AgentLiveness.isNewer(epoch, sequence, other.epoch, other.sequence);
    }

    /** The tasks of the list; items that are none are left out. */
    List<TaskStatus> tasks() {
        List<TaskStatus> tasks = new ArrayList<>();
        if (taskList.length == 0) {
            return tasks;
        }
        try (JsonParser parser = JSON.createParser(taskList)) {
            parser.nextToken();
            for (JsonToken item = parser.nextToken();
                    item != null && item != JsonToken.END_ARRAY;
                    item = parser.nextToken()) {
                TaskStatus task = item == JsonToken.START_OBJECT ? task(parser) : null;
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

    private static TaskStatus task(JsonParser parser) throws IOException {
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
        return new TaskStatus(new Attempt(name.substring(0, slash), index, attempt), state(phase), cause(cause));
    }

    private static TaskState state(String phase) {
        return switch (phase) {
            // A gang's task that waits for the others does not run yet.
            case "fetching", "gathering" -> TaskState.FETCHING;
            case "flushing" -> TaskState.CHECKPOINTING;
            case "ended" -> TaskState.EXITED;
            default -> TaskState.RUNNING;
        };
    }

    private static ExitCause cause(String exit) {
        return switch (exit) {
            case "done" -> ExitCause.DONE;
            case "stopped" -> ExitCause.STOPPED;
            case "error" -> ExitCause.ERROR;
            case "peers", "alone" -> ExitCause.GANG_FAILED;
            case "no_room", "busy", "unknown" -> ExitCause.REFUSED;
            default -> ExitCause.NONE;
        };
    }
}
