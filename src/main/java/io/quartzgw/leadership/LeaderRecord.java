package io.quartzgw.leadership;

/**
 * The stored record of the current leader.
 *
 * @param member the name of the leading controller
 * @param process the number of the leader's process, which differs after a restart
 * @param term the term for which the leader was elected
 * @param leaseId the lease in the state service to which the record is attached
 */
public record LeaderRecord(String member, long process, long term, long leaseId) {}
