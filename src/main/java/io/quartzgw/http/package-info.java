/**
 * HTTP plumbing: one XNIO worker serves inbound requests (Undertow) and outbound calls (UndertowClient), and hands both
 * to the owner thread as plain records.
 */
package io.quartzgw.http;
