package io.quartzgw.replication;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.util.LinkedHashSet;
import java.util.Set;

/** Encodes and decodes the stored record of the controllers in sync. */
final class InSyncRecordCodec {
    private static final String TERM = "term";
    private static final String MEMBERS = "members";

    private InSyncRecordCodec() {}

    static ObjectNode encode(InSyncRecord record) {
        ObjectNode node = Json.object().put(TERM, record.term());
        record.members().forEach(node.putArray(MEMBERS)::add);
        return node;
    }

    static InSyncRecord decode(JsonNode node) {
        Set<String> members = new LinkedHashSet<>();
        node.path(MEMBERS).forEach(member -> members.add(member.asText()));
        return new InSyncRecord(node.path(TERM).asLong(), members);
    }
}
