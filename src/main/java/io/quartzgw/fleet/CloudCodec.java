package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** JSON encoding of rental, deletion and list messages with the cloud's field names. */
final class CloudCodec {
    private static final String MACHINES = "hosts";

    private CloudCodec() {}

    /** One page of the machine list. */
    record ListPage(List<CloudClient.ListedMachine> machines, boolean more) {}

    static ObjectNode encodeRental(String request, MachineOffer offer, int count) {
        return Json.object()
                .put("hire", request)
                .put("host_type", offer.type().name())
                .put("yard", offer.zone())
                .put("loaner", offer.spot())
                .put("number", count);
    }

    /** Decodes the IDs of the machines that a rental request returned. */
    static List<String> decodeRentedIds(JsonNode body) {
        List<String> ids = new ArrayList<>();
        body.path(MACHINES).forEach(id -> ids.add(id.asText()));
        return ids;
    }

    /** Whether an error means that the cloud has no capacity for the requested offer. */
    static boolean isNoCapacity(JsonNode error) {
        return error.path("error").asText().equals("no capacity");
    }

    static ObjectNode encodeDeletion(Collection<String> ids) {
        ObjectNode body = Json.object();
        ArrayNode machines = body.putArray(MACHINES);
        ids.forEach(machines::add);
        return body;
    }

    static ListPage decodeListPage(JsonNode body) {
        List<CloudClient.ListedMachine> machines = new ArrayList<>();
        body.path(MACHINES).forEach(node -> machines.add(decodeListedMachine(node)));
        return new ListPage(machines, body.path("more").asBoolean());
    }

    private static CloudClient.ListedMachine decodeListedMachine(JsonNode node) {
        return new CloudClient.ListedMachine(
                node.path("id").asText(),
                node.path("address").asText(),
                node.path("host_type").asText(),
                node.path("yard").asText(),
                node.path("loaner").asBoolean(),
                node.path("phase").asText(),
                node.path("held_s").asDouble());
    }
}
