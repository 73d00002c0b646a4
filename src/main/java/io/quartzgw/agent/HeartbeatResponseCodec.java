package io.quartzgw.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/** Encodes responses to heartbeats with the names that the protocol uses. */
public final class HeartbeatResponseCodec {
    private HeartbeatResponseCodec() {}

    /** Returns the response's body. */
    public static ObjectNode encode(HeartbeatResponse response) {
        ObjectNode body = Json.object();
        AgentCommandCodec.encode(response.commands(), body.putArray("orders"));
        response.fencingToken().ifPresent(token -> body.put("baton", token));
        return body;
    }
}
