package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Json;

/**
 * Who leads, as the state service tells.
 *
 * @param process the leader's process; a member that was restarted has another one
 * @param leaseId the hold that the record hangs on
 */
public record LeaderRecord(String member, long process, long term, long leaseId) {

    JsonNode toJson() {
        return Json.object()
                .put("member", member)
                .put("process", process)
                .put("term", term)
                .put("hold", leaseId);
    }

    static LeaderRecord fromJson(JsonNode node) {
        return new LeaderRecord(
                node.path("member").asText(),
                node.path("process").asLong(),
                node.path("term").asLong(),
                node.path("hold").asLong());
    }
}
