package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON encoding of machine types with the cloud's field names; the stored table uses the same encoding. */
final class MachineTypeCodec {
    private static final String MACHINE_TYPES = "host_types";
    private static final String ZONES = "yards";

    private MachineTypeCodec() {}

    /** Encodes a table of machine types. */
    static ObjectNode encodeTable(Collection<MachineType> types) {
        ObjectNode table = Json.object();
        ArrayNode list = table.putArray(MACHINE_TYPES);
        types.forEach(type -> list.add(encode(type)));
        return table;
    }

    /** Decodes a table of machine types by name, in the order of the table. */
    static Map<String, MachineType> decodeTable(JsonNode table) {
        Map<String, MachineType> types = new LinkedHashMap<>();
        table.path(MACHINE_TYPES).forEach(node -> {
            MachineType type = decode(node);
            types.put(type.name(), type);
        });
        return types;
    }

    private static ObjectNode encode(MachineType type) {
        ObjectNode node = Json.object()
                .put("name", type.name())
                .put("cpus", type.size().cpus())
                .put("gpus", type.size().gpus())
                .put("ram_gb", type.size().memoryGb())
                .put("cache_gb", type.cacheGb())
                .put("pull_gb_per_s", type.fetchGbPerS())
                .put("hourly", type.price())
                .put("spot_price", type.spotPrice())
                .put("startup_s", type.bootS());
        ArrayNode zones = node.putArray(ZONES);
        type.zones().forEach(zones::add);
        return node;
    }

    private static MachineType decode(JsonNode node) {
        List<String> zones = new ArrayList<>();
        node.path(ZONES).forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                node.path("name").asText(),
                new Resources(
                        node.path("cpus").asDouble(),
                        node.path("gpus").asDouble(),
                        node.path("ram_gb").asDouble()),
                node.path("cache_gb").asDouble(),
                node.path("pull_gb_per_s").asDouble(),
                node.path("hourly").asDouble(),
                node.path("spot_price").asDouble(),
                node.path("startup_s").asDouble(),
                List.copyOf(zones));
    }
}
