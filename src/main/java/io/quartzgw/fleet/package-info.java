/**
 * Scales the fleet: rents machines for tasks that lack free capacity, drains and deletes machines that are not needed,
 * and reconciles the cluster state with the cloud's machine list.
 *
 * <p>State owned: the machine records and the table of machine types in the state service, rental requests without a
 * result, and the budget of requests to the cloud.
 *
 * <p>Called on the event loop only, by app, recovery and agent.
 */
package io.quartzgw.fleet;
