package io.quartzgw.replication;

/**
 * The answer to an update: which version of the leader's log the follower holds.
 *
 * @param process the follower's process
 * @param term the term of the leader
 * @param version the version; 0 if the follower holds nothing of this term
 */
record ReplicaStatus(long process, long term, long version) {}
