package io.quartzgw.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;

/** Encodes heartbeat responses with the field names of the protocol. */
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
