package io.quartzgw.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Jackson trees to and from bytes: JSON on the protocol's interfaces, CBOR between controllers. */
public final class Json {
    // Trees, not bound classes: reflection on a dozen record types costs a starting controller more of
    // its share of a core than all its other work.
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final ObjectMapper CBOR = new CBORMapper();

    private Json() {}

    public static ObjectNode object() {
        return JSON.createObjectNode();
    }

    public static ArrayNode array() {
        return JSON.createArrayNode();
    }

    public static byte[] write(JsonNode node) {
        return write(JSON, node);
    }

    public static byte[] writeCbor(JsonNode node) {
        return write(CBOR, node);
    }

    /** The tree, or null when the bytes are no JSON document. */
    public static JsonNode readOrNull(byte[] bytes) {
        return read(JSON, bytes);
    }

    /** The tree, or null when the bytes are no CBOR document. */
    public static JsonNode readCborOrNull(byte[] bytes) {
        return read(CBOR, bytes);
    }

    private static JsonNode read(ObjectMapper mapper, byte[] bytes) {
        try {
            JsonNode node = mapper.readTree(bytes);
            return node == null || node.isMissingNode() ? null : node;
        } catch (IOException e) {
            return null;
        }
    }

    private static byte[] write(ObjectMapper mapper, JsonNode node) {
        try {
            return mapper.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
