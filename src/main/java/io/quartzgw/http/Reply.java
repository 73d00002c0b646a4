package io.quartzgw.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The result of an outbound call.
 *
 * @param status the HTTP status, or {@link #NO_RESPONSE} if no response was received
 * @param sent whether the request may have been sent. If it may have been and there is no response, the request may
 *     have been executed or may still be. An unsent request is never executed.
 */
public record Reply(int status, byte[] body, boolean sent) {
    public static final int NO_RESPONSE = 0;

    /** The reply to a request that was sent. */
    public Reply(int status, byte[] body) {
        this(status, body, true);
    }

    public static Reply unanswered() {
        return new Reply(NO_RESPONSE, new byte[0]);
    }

    /** The reply to a request that was not sent, because there was no connection or the call had expired. */
    public static Reply unsent() {
        return new Reply(NO_RESPONSE, new byte[0], false);
    }

    public boolean ok() {
        return status == 200;
    }

    /** The JSON body, or a missing node if it can't be parsed. */
    public JsonNode json() {
        JsonNode node = Json.readOrNull(body);
        return node == null ? MissingNode.getInstance() : node;
    }

    /** The CBOR body, or a missing node if it can't be parsed. */
    public JsonNode cbor() {
        JsonNode node = Json.readCborOrNull(body);
        return node == null ? MissingNode.getInstance() : node;
    }
}
