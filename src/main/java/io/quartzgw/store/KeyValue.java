package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key with its value.
 *
 * @param revision the revision of the key's last change
 */
public record KeyValue(String key, JsonNode value, long revision) {}
