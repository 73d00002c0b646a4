package io.quartzgw.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes JSON and CBOR in format tests. Uses only Jackson, because the program's codecs are under test. */
final class Literals {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectMapper CBOR = new CBORMapper();

    private Literals() {}

    static JsonNode json(String text) {
        return json(bytes(text));
    }

    static JsonNode json(byte[] bytes) {
        return read(JSON, bytes);
    }

    static JsonNode cbor(byte[] bytes) {
        // Converts through text so that equal numbers of different widths become equal nodes.
        return json(read(CBOR, bytes).toString());
    }

    static byte[] cbor(JsonNode node) {
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonNode read(ObjectMapper mapper, byte[] bytes) {
        try {
            return mapper.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the object with these fields added or replaced. */
    static String with(String object, String fields) {
        return merged(object, "{" + fields + "}");
    }

    static String merged(String object, String more) {
        return ((ObjectNode) json(object)).setAll((ObjectNode) json(more)).toString();
    }

    static String without(String object, String field) {
        return ((ObjectNode) json(object)).without(field).toString();
    }
}
