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

/** Reads and writes Jackson trees: as JSON on the protocol's interfaces, as CBOR between controllers. */
public final class Json {
    // Uses trees instead of data binding, since reflection on a dozen record types would cost a starting controller
    // more CPU time than all its other work.
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

    /** Returns the tree, or null if the bytes are not a JSON document. */
    public static JsonNode readOrNull(byte[] bytes) {
        return read(JSON, bytes);
    }

    /** Returns the tree, or null if the bytes are not a CBOR document. */
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
