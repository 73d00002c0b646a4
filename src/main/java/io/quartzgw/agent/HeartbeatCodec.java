package io.quartzgw.agent;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.Attempt;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** Decodes heartbeats from JSON with the field names of the protocol. */
public final class HeartbeatCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] NO_TASKS = new byte[0];
    private static final long MISSING = -1;

    private HeartbeatCodec() {}

    /** Decodes a heartbeat, leaving its task list encoded; returns empty if the message is not a valid heartbeat. */
    public static Optional<Heartbeat> decode(byte[] message) {
        try (JsonParser parser = JSON.createParser(message)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            HeartbeatFields fields = new HeartbeatFields();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                fields.readValue(parser.currentName(), parser, message);
                parser.skipChildren();
            }
            return fields.toHeartbeat();
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** The fields of a heartbeat that have been read so far. */
    private static final class HeartbeatFields {
        private String machine;
        private String address = "";
        private String machineType = "";
        private String zone = "";
        private boolean spot;
        private long epoch = MISSING;
        private long sequence = MISSING;
        private long fencingToken;
        private OptionalDouble reclaimInSeconds = OptionalDouble.empty();
        private byte[] taskList = NO_TASKS;

        void readValue(String field, JsonParser parser, byte[] message) throws IOException {
            JsonToken token = parser.nextToken();
            switch (field) {
                case "host" -> machine = token == JsonToken.VALUE_STRING ? parser.getText() : null;
                case "address" -> address = parser.getValueAsString("");
                case "host_type" -> machineType = parser.getValueAsString("");
                case "yard" -> zone = parser.getValueAsString("");
                case "loaner" -> spot = token == JsonToken.VALUE_TRUE;
                case "tenure" -> epoch = integer(token, parser);
                case "counter" -> sequence = integer(token, parser);
                case "baton" -> fencingToken = parser.getValueAsLong();
                case "reclaim_in_s" ->
                    reclaimInSeconds =
                            token.isNumeric() ? OptionalDouble.of(parser.getDoubleValue()) : OptionalDouble.empty();
                case "shards" -> {
                    if (token == JsonToken.START_ARRAY) {
                        taskList = arrayBytes(parser, message);
                    }
                }
                default -> {}
            }
        }

        private static long integer(JsonToken token, JsonParser parser) throws IOException {
            return token == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : MISSING;
        }

        private static byte[] arrayBytes(JsonParser parser, byte[] message) throws IOException {
            int from = (int) parser.currentTokenLocation().getByteOffset();
            parser.skipChildren();
            return Arrays.copyOfRange(
                    message, from, (int) parser.currentLocation().getByteOffset());
        }

        Optional<Heartbeat> toHeartbeat() {
            if (machine == null || epoch < 0 || sequence < 0) {
                return Optional.empty();
            }
            Heartbeat.Source source = new Heartbeat.Source(machine, Endpoint.parse(address), machineType, zone, spot);
            return Optional.of(
                    new Heartbeat(source, new HeartbeatId(epoch, sequence), fencingToken, reclaimInSeconds, taskList));
        }
    }

    /** Decodes the task list of a heartbeat, skipping invalid items. */
    static List<Heartbeat.TaskStatus> decodeTasks(byte[] taskList) {
        List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
        if (taskList.length == 0) {
            return tasks;
        }
        try (JsonParser parser = JSON.createParser(taskList)) {
            parser.nextToken();
            for (JsonToken item = parser.nextToken();
                    item != null && item != JsonToken.END_ARRAY;
                    item = parser.nextToken()) {
                if (item == JsonToken.START_OBJECT) {
                    decodeTask(parser).ifPresent(tasks::add);
                }
                parser.skipChildren();
            }
        } catch (IOException e) {
            throw new IllegalStateException("task list was valid when the heartbeat was decoded", e);
        }
        return tasks;
    }

    private static Optional<Heartbeat.TaskStatus> decodeTask(JsonParser parser) throws IOException {
        String task = "";
        long attemptNumber = 0;
        String state = "";
        String cause = "";
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            parser.nextToken();
            switch (field) {
                case "shard" -> task = parser.getValueAsString("");
                case "try_no" -> attemptNumber = parser.getValueAsLong();
                case "phase" -> state = parser.getValueAsString("");
                case "exit_cause" -> cause = parser.getValueAsString("");
                default -> parser.skipChildren();
            }
        }
        Heartbeat.TaskState taskState = decodeState(state);
        Heartbeat.ExitCause exitCause = decodeCause(cause);
        return decodeAttempt(task, attemptNumber)
                .map(attempt -> new Heartbeat.TaskStatus(attempt, taskState, exitCause));
    }

    private static Optional<Attempt> decodeAttempt(String task, long attemptNumber) {
        int slash = task.lastIndexOf('/');
        if (slash <= 0) {
            return Optional.empty();
        }
        try {
            int index = Integer.parseInt(task.substring(slash + 1));
            return Optional.of(new Attempt(task.substring(0, slash), index, attemptNumber));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Heartbeat.TaskState decodeState(String state) {
        return switch (state) {
            // A gang member that waits for the other members does not run yet.
            case "fetching", "gathering" -> Heartbeat.TaskState.FETCHING;
            case "flushing" -> Heartbeat.TaskState.CHECKPOINTING;
            case "ended" -> Heartbeat.TaskState.EXITED;
            default -> Heartbeat.TaskState.RUNNING;
        };
    }

    private static Heartbeat.ExitCause decodeCause(String cause) {
        return switch (cause) {
            case "done" -> Heartbeat.ExitCause.DONE;
            case "stopped" -> Heartbeat.ExitCause.STOPPED;
            case "error" -> Heartbeat.ExitCause.ERROR;
            case "peers", "alone" -> Heartbeat.ExitCause.GANG_FAILED;
            case "no_room", "busy", "unknown" -> Heartbeat.ExitCause.REFUSED;
            default -> Heartbeat.ExitCause.NONE;
        };
    }
}
