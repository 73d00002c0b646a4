package io.quartzgw.replication;

import java.util.List;

/**
 * A page of a replica, ordered by machine.
 *
 * @param complete whether the controller holds a complete replica at all; if not, the rest means nothing
 * @param term the term of the leader whose log it is
 * @param version the version of the replica
 * @param machines the machines of this page
 * @param more whether there are further machines
 */
record ReplicaPage(boolean complete, long term, long version, List<MachineStarts> machines, boolean more) {
    static final ReplicaPage NONE = new ReplicaPage(false, 0, 0, List.of(), false);
}
