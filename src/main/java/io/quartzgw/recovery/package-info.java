/**
 * Failover recovery: how a new leader rebuilds its cluster state, and how it treats machines that fall silent.
 *
 * <p>Duty: {@link io.quartzgw.recovery.FailoverRecovery} reads the stored state, gathers heartbeats for a limited time,
 * keeps tasks unaccounted for that may run on unverified machines, and releases reservations when they expire.
 *
 * <p>State: the phase of the recovery and the set of unverified machines. Both belong to one term and are never stored.
 *
 * <p>Callers: the leader, on the event loop's thread only.
 */
package io.quartzgw.recovery;
