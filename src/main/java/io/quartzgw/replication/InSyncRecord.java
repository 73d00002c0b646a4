package io.quartzgw.replication;

import java.util.Set;

/**
 * Which controllers a leader has told of every start before it left in a direct call. A leader stores it when some of
 * the others do not acknowledge; without a record of its term it waits for all of them.
 *
 * @param term the leader's term; 0 if no leader has ever stored a record
 * @param members the leader itself and the others that it has told
 */
public record InSyncRecord(long term, Set<String> members) {
    /** Stands for no record. */
    public static final InSyncRecord NONE = new InSyncRecord(0, Set.of());

    /**
     * Returns whether a complete replica has all starts of former leaders that may still be on their way.
     *
     * <p>A replica of a later term than the record's was acknowledged to a leader that waited for all controllers. If
     * the controller is in the record, the leader of that term has waited for it as well; a replica of an earlier term
     * then says that this leader has sent no start in a direct call.
     *
     * @param member the controller that holds the replica
     * @param replicaTerm the term of the leader whose log it is
     */
    boolean covers(String member, long replicaTerm) {
        return replicaTerm > term || members.contains(member);
    }
}
