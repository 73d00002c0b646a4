package io.quartzgw.http;

/**
 * An inbound request with its whole body.
 *
 * @param exchange names the exchange that has to be answered
 * @param query the raw query string, perhaps empty
 */
public record Request(long exchange, ListenerKind listener, String method, String path, String query, byte[] body) {}
