package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;

/** A change seen by a follow; the value is null when the key was dropped. */
public record KeyChange(String key, JsonNode value, long revision) {}
