package io.quartzgw.http;

/** A TCP address in the form {@code host:port}. */
public record Endpoint(String host, int port) {

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException when the text is not {@code host:port}
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not host:port: " + text);
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not host:port: " + text, e);
        }
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port out of range: " + text);
        }
        return new Endpoint(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
