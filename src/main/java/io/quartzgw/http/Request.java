package io.quartzgw.http;

/**
 * An inbound request with its whole body.
 *
 * @param exchange ID of the HTTP exchange, needed to answer the request
 * @param query the raw query string; may be empty
 */
public record Request(long exchange, ListenerKind listener, String method, String path, String query, byte[] body) {}
