package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import java.util.Optional;

/**
 * How long this controller has heard nothing of the leader that the state store names, while it ran itself. A leader
 * whose lease is not renewed is replaced before it counts as silent, unless the store's outages keep the lease alive.
 */
final class UnresponsiveLeaderDetector {
    /** A leader that was not heard for so many of its leases is silent. */
    private static final double UNRESPONSIVE_AFTER_LEASES = 1.5;
    /** Without a check for so many heartbeats, this controller was paused, and could not have heard anybody. */
    private static final int PAUSE_HEARTBEATS = 3;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final PeerRegistry peers;
    private final long unresponsiveAfterMs;
    private final long pauseThresholdMs;
    private Optional<LeaderRecord> observedRecord = Optional.empty();
    /** Since when this controller could have heard the leader of the record. */
    private long observingSinceMs;

    private long checkedAtMs;

    UnresponsiveLeaderDetector(
            EventLoop eventLoop, Leadership leadership, PeerRegistry peers, LeadershipTiming timing) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.peers = peers;
        this.unresponsiveAfterMs = (long) (UNRESPONSIVE_AFTER_LEASES * timing.leaseMs());
        this.pauseThresholdMs = PAUSE_HEARTBEATS * timing.heartbeatMs();
        this.observingSinceMs = eventLoop.nowMs();
        this.checkedAtMs = eventLoop.nowMs();
    }

    /** Notices another leader record and pauses of this process; to be called once a heartbeat. */
    void check() {
        boolean paused = eventLoop.nowMs() - checkedAtMs > pauseThresholdMs;
        checkedAtMs = eventLoop.nowMs();
        if (paused || !observedRecord.equals(leadership.leaderRecord())) {
            observedRecord = leadership.leaderRecord();
            observingSinceMs = eventLoop.nowMs();
        }
    }

    /** Whether the recorded leader is another controller that was not heard for long. */
    boolean isLeaderUnresponsive() {
        return !leadership.leading()
                && observedRecord.isPresent()
                && observedRecord.equals(leadership.leaderRecord())
                && eventLoop.nowMs() - lastReceivedAtMs(observedRecord.get()) >= unresponsiveAfterMs;
    }

    private long lastReceivedAtMs(LeaderRecord leader) {
        ControllerIdentity identity = new ControllerIdentity(leader.member(), leader.process());
        return Math.max(observingSinceMs, peers.lastReceivedAtMs(identity).orElse(observingSinceMs));
    }
}
