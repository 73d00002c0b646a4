/**
 * The client of the state store: reads, guarded transactions, leases and watches, inside this controller's share of the
 * store's request and write limits.
 *
 * <p>State owned: the queue of requests, this controller's budgets, whether the store answers, and the revisions of
 * packed pages. What the stored values mean is up to the callers.
 *
 * <p>Callers: every package that keeps state. All calls are made on the event loop's thread.
 */
package io.quartzgw.store;
