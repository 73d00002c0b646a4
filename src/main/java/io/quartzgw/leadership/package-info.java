/**
 * Leader election among the controllers, and the exchange of messages between them.
 *
 * <p>State owned: the local copy of the election keys, this controller's term and lease, the grace period of a leader
 * that can't confirm its lease, the newest status of each peer, and the grants of the state service's write budget.
 *
 * <p>Callers: {@code app} starts {@link io.quartzgw.leadership.Leadership} and
 * {@link io.quartzgw.leadership.PeerExchange} and routes requests to them; components that act for a leader hold a
 * {@link io.quartzgw.leadership.LeaderTerm}. All calls are made on the event loop's thread.
 */
package io.quartzgw.leadership;
