package io.quartzgw.app;

import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.recovery.RecoveryTiming;
import io.quartzgw.replication.FormerStartsReader;
import io.quartzgw.replication.StartReplicator;

/**
 * The two sides of the replication of starts during one term.
 *
 * @param replicator tells the other controllers of this leader's starts
 * @param formerStartsReader reads the starts of former leaders
 */
record StartReplication(StartReplicator replicator, FormerStartsReader formerStartsReader) {

    /** Creates both for a term. */
    static StartReplication of(ControllerServices services, LeaderTerm term, RecoveryTiming recoveryTiming) {
        Settings settings = services.settings();
        long peerHeartbeatMs = services.leadershipTiming().heartbeatMs();
        return new StartReplication(
                new StartReplicator(services.eventLoop(), term, settings.member(), settings.peers(), peerHeartbeatMs),
                new FormerStartsReader(
                        services.eventLoop(),
                        term,
                        services.replicas(),
                        new FormerStartsReader.Identity(settings.member(), settings.peers()),
                        new FormerStartsReader.Timing(peerHeartbeatMs, recoveryTiming.gatherWindowMs())));
    }
}
