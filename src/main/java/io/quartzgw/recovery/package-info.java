/**
 * Failover recovery: how a new leader rebuilds its cluster state, and how it handles unresponsive machines.
 *
 * <p>Responsibility: {@link io.quartzgw.recovery.FailoverRecovery} reads the stored state, gathers heartbeats for a
 * limited time, tracks tasks that may run on unverified machines as unaccounted, and releases expired reservations.
 *
 * <p>State: the phase of the recovery and the set of unverified machines. Both belong to one term and are never stored.
 *
 * <p>Callers: the leader, on the event loop's thread only.
 */
package io.quartzgw.recovery;
