/**
 * HTTP and JSON infrastructure. One XNIO I/O thread serves inbound requests (Undertow) and outbound calls
 * (UndertowClient) and exchanges them with the event loop as immutable records. Owns connections and sockets, but no
 * cluster state.
 */
package io.quartzgw.http;
