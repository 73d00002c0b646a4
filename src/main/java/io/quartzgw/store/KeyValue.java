package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;

/** A key's value and the revision of its last change. */
public record KeyValue(String key, JsonNode value, long revision) {}
