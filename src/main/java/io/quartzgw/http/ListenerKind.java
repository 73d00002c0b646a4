package io.quartzgw.http;

/** Which listener a request came through. */
public enum ListenerKind {
    CLIENT,
    PEER
}
