/**
 * Replicates the starts that a leader's direct calls may carry to the other controllers, so that its successor knows
 * them.
 *
 * <p>Duty: a direct call may be executed minutes late, also by an agent that knows no fencing token. So a start leaves
 * in a direct call only after every other controller has acknowledged it
 * ({@link io.quartzgw.replication.StartReplicator}), and a new leader takes over what its own process, or any other
 * one, holds ({@link io.quartzgw.replication.FormerStartsReader}).
 *
 * <p>State owned: the leader's log of starts, which belongs to one term, and the replica of the last leader's log,
 * which belongs to the process. None of it is ever stored.
 *
 * <p>Callers: {@code app} wires the parts and routes requests to {@link io.quartzgw.replication.ReplicaHolder};
 * {@code agent} announces starts, and {@code recovery} reads those of former leaders. All on the event loop's thread.
 */
package io.quartzgw.replication;
