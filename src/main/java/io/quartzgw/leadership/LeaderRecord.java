package io.quartzgw.leadership;

/**
 * The stored record that names the current leader.
 *
 * @param member the name of the leading controller
 * @param process the leader's process; a restarted controller has another one
 * @param term the term that the leader was elected for
 * @param leaseId the lease of the state store that the record is attached to
 */
public record LeaderRecord(String member, long process, long term, long leaseId) {}
