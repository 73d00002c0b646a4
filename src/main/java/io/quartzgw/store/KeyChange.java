package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A change of a key, delivered by a watch.
 *
 * @param value the new value, or null when the key was deleted; see {@link #newValue()}
 */
public record KeyChange(String key, JsonNode value, long revision) {

    /** The new value; empty when the key was deleted. */
    public Optional<JsonNode> newValue() {
        return Optional.ofNullable(value);
    }
}
