package io.quartzgw.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * How an outbound call ended.
 *
 * @param status the status, or {@link #LOST} when there was no response: the request may have been carried out, or may
 *     still be
 */
public record Reply(int status, byte[] body) {
    public static final int LOST = 0;

    public static Reply lost() {
        return new Reply(LOST, new byte[0]);
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
