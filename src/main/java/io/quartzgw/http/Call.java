package io.quartzgw.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An outbound HTTP request.
 *
 * @param body the request body, or null for none
 * @param timeoutMs timeout, counted from the start of the call
 */
public record Call(Endpoint endpoint, String method, String path, String type, byte[] body, long timeoutMs) {

    public static Call get(Endpoint endpoint, String path, long timeoutMs) {
        return new Call(endpoint, "GET", path, null, null, timeoutMs);
    }

    public static Call delete(Endpoint endpoint, String path, long timeoutMs) {
        return new Call(endpoint, "DELETE", path, null, null, timeoutMs);
    }

    public static Call post(Endpoint endpoint, String path, JsonNode body, long timeoutMs) {
        return new Call(endpoint, "POST", path, Response.JSON, Json.write(body), timeoutMs);
    }

    public static Call postCbor(Endpoint endpoint, String path, JsonNode body, long timeoutMs) {
        return new Call(endpoint, "POST", path, Response.CBOR, Json.writeCbor(body), timeoutMs);
    }
}
