/**
 * HTTP and JSON plumbing: one XNIO I/O thread serves inbound requests (Undertow) and outbound calls (UndertowClient)
 * and exchanges them with the event loop as immutable records. Owns connections and sockets, and nothing of the
 * cluster.
 */
package io.quartzgw.http;
