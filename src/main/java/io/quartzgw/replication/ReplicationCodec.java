package io.quartzgw.replication;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.model.Attempt;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Encodes and decodes the messages of the replication, which are CBOR. The names of the fields are part of the format;
 * a start is an array of job, index and attempt.
 */
final class ReplicationCodec {
    private static final String MEMBER = "member";
    private static final String RECEIVER = "receiver";
    private static final String PROCESS = "process";
    private static final String TERM = "term";
    private static final String FROM_VERSION = "from";
    private static final String TO_VERSION = "to";
    private static final String VERSION = "version";
    private static final String COMPLETE = "complete";
    private static final String MACHINES = "machines";
    private static final String AFTER = "after";
    private static final String MORE = "more";

    private static final int JOB = 0;
    private static final int INDEX = 1;
    private static final int ATTEMPT = 2;
    private static final int START_LENGTH = 3;

    private ReplicationCodec() {}

    static ObjectNode encode(ReplicaUpdate update) {
        ObjectNode node = Json.object()
                .put(MEMBER, update.member())
                .put(RECEIVER, update.receiver())
                .put(TERM, update.term())
                .put(FROM_VERSION, update.fromVersion())
                .put(TO_VERSION, update.toVersion())
                .put(COMPLETE, update.complete());
        node.set(MACHINES, encodeMachines(update.changes()));
        return node;
    }

    /** The update of a request's body, or empty if it is none. */
    static Optional<ReplicaUpdate> decodeUpdate(byte[] body) {
        return readObject(body)
                .filter(node -> node.path(MEMBER).isTextual()
                        && isVersion(node.path(RECEIVER))
                        && isPositive(node.path(TERM))
                        && isVersion(node.path(FROM_VERSION))
                        && isVersion(node.path(TO_VERSION))
                        && node.path(TO_VERSION).asLong()
                                >= node.path(FROM_VERSION).asLong()
                        && node.path(COMPLETE).isBoolean())
                .flatMap(node -> decodeMachines(node.path(MACHINES))
                        .map(machines -> new ReplicaUpdate(
                                node.path(MEMBER).asText(),
                                node.path(RECEIVER).asLong(),
                                node.path(TERM).asLong(),
                                node.path(FROM_VERSION).asLong(),
                                node.path(TO_VERSION).asLong(),
                                node.path(COMPLETE).asBoolean(),
                                machines)));
    }

    static ObjectNode encode(ReplicaStatus status) {
        return Json.object()
                .put(PROCESS, status.process())
                .put(TERM, status.term())
                .put(VERSION, status.version());
    }

    static Optional<ReplicaStatus> decodeStatus(byte[] body) {
        return readObject(body)
                .filter(node ->
                        isPositive(node.path(PROCESS)) && isPositive(node.path(TERM)) && isVersion(node.path(VERSION)))
                .map(node -> new ReplicaStatus(
                        node.path(PROCESS).asLong(),
                        node.path(TERM).asLong(),
                        node.path(VERSION).asLong()));
    }

    static ObjectNode encode(ReplicaReadRequest request) {
        return Json.object()
                .put(MEMBER, request.member())
                .put(TERM, request.term())
                .put(AFTER, request.after());
    }

    /** The read request of a request's body, or empty if it is none. */
    static Optional<ReplicaReadRequest> decodeReadRequest(byte[] body) {
        return readObject(body)
                .filter(node -> node.path(MEMBER).isTextual()
                        && isPositive(node.path(TERM))
                        && node.path(AFTER).isTextual())
                .map(node -> new ReplicaReadRequest(
                        node.path(MEMBER).asText(),
                        node.path(TERM).asLong(),
                        node.path(AFTER).asText()));
    }

    static ObjectNode encode(ReplicaPage page) {
        ObjectNode node = Json.object()
                .put(COMPLETE, page.complete())
                .put(TERM, page.term())
                .put(VERSION, page.version())
                .put(MORE, page.more());
        node.set(MACHINES, encodeMachines(page.machines()));
        return node;
    }

    static Optional<ReplicaPage> decodePage(byte[] body) {
        return readObject(body)
                .filter(node -> node.path(COMPLETE).isBoolean()
                        && isVersion(node.path(TERM))
                        && isVersion(node.path(VERSION))
                        && node.path(MORE).isBoolean())
                .flatMap(node -> decodeMachines(node.path(MACHINES))
                        .map(machines -> new ReplicaPage(
                                node.path(COMPLETE).asBoolean(),
                                node.path(TERM).asLong(),
                                node.path(VERSION).asLong(),
                                machines,
                                node.path(MORE).asBoolean())));
    }

    private static Optional<JsonNode> readObject(byte[] body) {
        return Optional.ofNullable(Json.readCborOrNull(body)).filter(JsonNode::isObject);
    }

    private static boolean isPositive(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.asLong() > 0;
    }

    private static boolean isVersion(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.asLong() >= 0;
    }

    // ---- machines

    private static ObjectNode encodeMachines(List<MachineStarts> machines) {
        ObjectNode node = Json.object();
        for (MachineStarts machine : machines) {
            ArrayNode starts = node.putArray(machine.machine());
            machine.starts().forEach(start -> starts.addArray()
                    .add(start.job())
                    .add(start.index())
                    .add(start.number()));
        }
        return node;
    }

    private static Optional<List<MachineStarts>> decodeMachines(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        List<MachineStarts> machines = new ArrayList<>();
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            Optional<Set<Attempt>> starts = decodeStarts(entry.getValue());
            if (starts.isEmpty()) {
                return Optional.empty();
            }
            machines.add(new MachineStarts(entry.getKey(), starts.get()));
        }
        return Optional.of(machines);
    }

    private static Optional<Set<Attempt>> decodeStarts(JsonNode node) {
        if (!node.isArray()) {
            return Optional.empty();
        }
        Set<Attempt> starts = new LinkedHashSet<>();
        for (JsonNode start : node) {
            if (!isStart(start)) {
                return Optional.empty();
            }
            starts.add(new Attempt(
                    start.get(JOB).asText(),
                    start.get(INDEX).asInt(),
                    start.get(ATTEMPT).asLong()));
        }
        return Optional.of(starts);
    }

    private static boolean isStart(JsonNode node) {
        return node.isArray()
                && node.size() == START_LENGTH
                && node.get(JOB).isTextual()
                && node.get(INDEX).canConvertToInt()
                && node.get(INDEX).asInt() >= 0
                && isPositive(node.get(ATTEMPT));
    }
}
