package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/**
 * How a job ended, for good.
 *
 * @param done how many tasks were done, for display
 */
public record FinalPhase(boolean cancelled, int done) {

    public ObjectNode toJson() {
        return Json.object().put("phase", cancelled ? "withdrawn" : "done").put("done", done);
    }

    static FinalPhase fromJson(JsonNode node) {
        return new FinalPhase(
                node.path("phase").asText().equals("withdrawn"),
                node.path("done").asInt());
    }
}
