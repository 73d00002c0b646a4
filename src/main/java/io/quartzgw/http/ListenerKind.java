package io.quartzgw.http;

/** The listener that received a request. */
public enum ListenerKind {
    CLIENT,
    PEER
}
