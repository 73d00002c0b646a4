package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Machine;
import java.util.Optional;

/**
 * JSON encoding of machine records in the state service: compact arrays, since many records share one page. A
 * description states the size of the machine, since the reader's table of machine types may lack its type. Earlier
 * versions store descriptions without a size, and ignore it.
 */
final class MachineRecordCodec {
    private static final int TYPE = 0;
    private static final int ZONE = 1;
    private static final int SPOT = 2;
    private static final int RENTED_AT_S = 3;
    private static final int CPUS = 4;
    private static final int GPUS = 5;
    private static final int MEMORY_GB = 6;

    private MachineRecordCodec() {}

    /**
     * The description of a rented machine.
     *
     * @param rentedAtS wall-clock time of the rental, in seconds
     * @param size the size of the machine; empty if an earlier version has stored the record
     */
    record Description(String type, String zone, boolean spot, long rentedAtS, Optional<Resources> size) {}

    static ArrayNode encodeDescription(Machine machine, long rentedAtS) {
        Resources size = machine.type().size();
        return Json.array()
                .add(machine.type().name())
                .add(machine.zone())
                .add(machine.spot())
                .add(rentedAtS)
                .add(size.cpus())
                .add(size.gpus())
                .add(size.memoryGb());
    }

    static Description decodeDescription(JsonNode record) {
        return new Description(
                record.path(TYPE).asText(),
                record.path(ZONE).asText(),
                record.path(SPOT).asBoolean(),
                record.path(RENTED_AT_S).asLong(),
                record.has(MEMORY_GB) ? Optional.of(decodeSize(record)) : Optional.empty());
    }

    private static Resources decodeSize(JsonNode record) {
        return new Resources(
                record.path(CPUS).asDouble(),
                record.path(GPUS).asDouble(),
                record.path(MEMORY_GB).asDouble());
    }

    /** Encodes the mark of a machine that may run tasks, which consists of its agent's address. */
    static JsonNode encodeMark(Endpoint address) {
        return TextNode.valueOf(address.toString());
    }

    static Endpoint decodeMark(JsonNode record) {
        return Endpoint.parse(record.asText());
    }
}
