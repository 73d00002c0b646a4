package io.quartzgw.startlog;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/** Encodes the record of which replicas cover a leader's starts, as controllers of an earlier version read it. */
final class LegacyReplicasCodec {
    private LegacyReplicasCodec() {}

    /** Returns the record that no replica of a term, or of an earlier one, covers its leader's starts. */
    static ObjectNode encode(long term) {
        ObjectNode record = Json.object().put("term", term);
        record.putArray("members");
        return record;
    }
}
