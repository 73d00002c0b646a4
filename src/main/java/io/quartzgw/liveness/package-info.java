/**
 * What the leader knows of an agent's liveness: the epoch and sequence of its heartbeats, how fresh a message is, and
 * the agents' timing. Owned by the machine that the agent runs on; knows nothing of tasks or commands.
 */
package io.quartzgw.liveness;
