package io.quartzgw.startlog;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/** Encodes the list of in-sync replicas of a leader's starts in the format that an earlier version reads. */
final class LegacyReplicasCodec {
    private LegacyReplicasCodec() {}

    /** Returns the record that no replica is in sync in the given term or any earlier one. */
    static ObjectNode encode(long term) {
        ObjectNode record = Json.object().put("term", term);
        record.putArray("members");
        return record;
    }
}
