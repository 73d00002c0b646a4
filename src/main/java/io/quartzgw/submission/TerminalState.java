package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/**
 * How a job ended, for good.
 *
 * @param doneTasks how many tasks were done, for display
 */
public record TerminalState(boolean cancelled, int doneTasks) {

    public ObjectNode toJson() {
        return Json.object().put("phase", cancelled ? "withdrawn" : "done").put("done", doneTasks);
    }

    static TerminalState fromJson(JsonNode node) {
        return new TerminalState(
                node.path("phase").asText().equals("withdrawn"),
                node.path("done").asInt());
    }
}
