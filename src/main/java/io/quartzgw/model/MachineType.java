package io.quartzgw.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.List;

/** A kind of machine that the cloud rents out; prices are per hour. */
public record MachineType(
        String name,
        Resources size,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** The usual boot time. */
    public long bootMs() {
        return (long) (bootS * 1000);
    }

    public ObjectNode toJson() {
        ObjectNode node = Json.object()
                .put("name", name)
                .put("cpus", size.cpus())
                .put("gpus", size.gpus())
                .put("ram_gb", size.memoryGb())
                .put("cache_gb", cacheGb)
                .put("pull_gb_per_s", fetchGbPerS)
                .put("hourly", price)
                .put("spot_price", spotPrice)
                .put("startup_s", bootS);
        ArrayNode yards = node.putArray("yards");
        zones.forEach(yards::add);
        return node;
    }

    public static MachineType fromJson(JsonNode node) {
        List<String> zones = new ArrayList<>();
        node.path("yards").forEach(zone -> zones.add(zone.asText()));
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
