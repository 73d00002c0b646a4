package io.quartzgw.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * An inbound request with its whole body.
 *
 * @param exchange names the exchange that has to be answered
 * @param query the raw query string, perhaps empty
 */
public record Request(long exchange, ListenerKind listener, String method, String path, String query, byte[] body) {

    /** The first value of a query parameter, or null. */
    public String parameter(String name) {
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).equals(name)) {
                return URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
