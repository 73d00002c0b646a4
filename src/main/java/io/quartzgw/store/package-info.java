/**
 * The client of the state service: reads, transactions with preconditions, leases and watches, within this controller's
 * share of the service's request and write limits.
 *
 * <p>State owned: the request queue, this controller's budgets, the reachability of the service, and the revisions of
 * packed pages. The callers define the meaning of stored values.
 *
 * <p>Callers: every package that stores state. All calls are made on the event loop's thread.
 */
package io.quartzgw.store;
