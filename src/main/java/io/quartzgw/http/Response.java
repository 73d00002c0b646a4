package io.quartzgw.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response to an inbound request.
 *
 * @param retryAfterS seconds for a {@code Retry-After} header, 0 for none
 */
public record Response(int status, String type, byte[] body, int retryAfterS) {
    public static final String JSON = "application/json";
    public static final String CBOR = "application/cbor";

    public static Response json(int status, JsonNode body) {
        return new Response(status, JSON, Json.write(body), 0);
    }

    public static Response cbor(JsonNode body) {
        return new Response(200, CBOR, Json.writeCbor(body), 0);
    }

    public static Response error(int status, String error) {
        return json(status, Json.object().put("error", error));
    }

    /** A 503 response that asks the client to retry after the given time. */
    public static Response unavailable(String error, int retryAfterS) {
        return new Response(503, JSON, Json.write(Json.object().put("error", error)), retryAfterS);
    }
}
