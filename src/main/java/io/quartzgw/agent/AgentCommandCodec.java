package io.quartzgw.agent;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.model.Attempt;
import java.util.List;

/** Encodes commands to agents with the field names of the protocol. */
final class AgentCommandCodec {
    /** The path of direct calls to agents. */
    static final String PATH = "/orders";

    private AgentCommandCodec() {}

    /** Returns the body of a direct call. */
    static ObjectNode encode(CommandRequest request) {
        CommandFence fence = request.fence();
        ObjectNode body = Json.object().put("baton", fence.token()).put("tenure", fence.epoch());
        encode(request.commands(), body.putArray("orders"));
        return body;
    }

    /** Adds commands to an array. */
    static void encode(List<AgentCommand> commands, ArrayNode target) {
        commands.forEach(command -> target.add(encode(command)));
    }

    private static ObjectNode encode(AgentCommand command) {
        if (command instanceof AgentCommand.Stop stop) {
            return encode("kill", stop.attempt()).put("wind_down_s", stop.graceSeconds());
        }
        return encode(command instanceof AgentCommand.Start ? "run" : "reap", command.attempt());
    }

    private static ObjectNode encode(String verb, Attempt attempt) {
        return Json.object().put("verb", verb).put("shard", attempt.task()).put("try_no", attempt.number());
    }
}
