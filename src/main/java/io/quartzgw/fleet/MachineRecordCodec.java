package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.scheduling.Machine;

/** JSON encoding of machine records in the state service: compact arrays, since many records share one page. */
final class MachineRecordCodec {
    private static final int TYPE = 0;
    private static final int ZONE = 1;
    private static final int SPOT = 2;
    private static final int RENTED_AT_S = 3;

    private MachineRecordCodec() {}

    /**
     * The description of a rented machine.
     *
     * @param rentedAtS wall-clock time of the rental, in seconds
     */
    record Description(String type, String zone, boolean spot, long rentedAtS) {}

    static ArrayNode encodeDescription(Machine machine, long rentedAtS) {
        return Json.array()
                .add(machine.type().name())
                .add(machine.zone())
                .add(machine.spot())
                .add(rentedAtS);
    }

    static Description decodeDescription(JsonNode record) {
        return new Description(
                record.path(TYPE).asText(),
                record.path(ZONE).asText(),
                record.path(SPOT).asBoolean(),
                record.path(RENTED_AT_S).asLong());
    }

    /** Encodes the mark of a machine that may run tasks, which consists of its agent's address. */
    static JsonNode encodeMark(Endpoint address) {
        return TextNode.valueOf(address.toString());
    }

    static Endpoint decodeMark(JsonNode record) {
        return Endpoint.parse(record.asText());
    }
}
