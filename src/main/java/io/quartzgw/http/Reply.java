package io.quartzgw.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * How an outbound call ended.
 *
 * @param status the status, or {@link #LOST} when there was no response: the request may have been carried out, or may
 *     still be
 * @param sent whether the request may have left: without a response, one that has not is never carried out
 */
public record Reply(int status, byte[] body, boolean sent) {
    public static final int LOST = 0;

    /** The reply to a request that has left. */
    public Reply(int status, byte[] body) {
        this(status, body, true);
    }

    public static Reply lost() {
        return new Reply(LOST, new byte[0]);
    }

    /** There was no response, and no connection over which the request could have left. */
    public static Reply unsent() {
        return new Reply(LOST, new byte[0], false);
    }

    public boolean ok() {
        return status == 200;
    }

    /** The JSON body; a missing node when there is none that can be read. */
    public JsonNode json() {
        JsonNode node = Json.readOrNull(body);
        return node == null ? MissingNode.getInstance() : node;
    }

    /** The CBOR body; a missing node when there is none that can be read. */
    public JsonNode cbor() {
        JsonNode node = Json.readCborOrNull(body);
        return node == null ? MissingNode.getInstance() : node;
    }
}
