package io.quartzgw.replication;

import java.util.List;

/**
 * A message from a leader to a follower: the changes of its log between two versions.
 *
 * @param member the leader
 * @param receiver the process that this is meant for, since a late copy may reach the one that replaces it
 * @param term the leader's term
 * @param fromVersion the version of the replica that the changes apply to; 0 for a replica that holds nothing yet
 * @param toVersion the version of the replica with the changes
 * @param complete whether the replica then holds the whole log
 * @param changes the machines that have changed, each with all its starts
 */
record ReplicaUpdate(
        String member,
        long receiver,
        long term,
        long fromVersion,
        long toVersion,
        boolean complete,
        List<MachineStarts> changes) {}
