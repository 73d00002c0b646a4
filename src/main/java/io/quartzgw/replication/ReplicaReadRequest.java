package io.quartzgw.replication;

/**
 * A request of a new leader for a page of the replica that another controller holds.
 *
 * @param member the new leader
 * @param term the new leader's term
 * @param after the last machine of the page before; empty for the first page
 */
record ReplicaReadRequest(String member, long term, String after) {}
