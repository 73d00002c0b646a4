package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import java.util.Optional;

/**
 * Detects that the leader named in the state service has sent this controller no message for a long time. Times in
 * which this controller was paused do not count. A leader whose lease expires is replaced before it counts as
 * unresponsive, so this matters only when outages of the store keep the lease from expiring.
 */
final class UnresponsiveLeaderDetector {
    /** A leader is unresponsive after this many lease durations without a message. */
    private static final double UNRESPONSIVE_AFTER_LEASES = 1.5;
    /** If no check ran for this many heartbeat intervals, this controller was paused and could not receive messages. */
    private static final int PAUSE_HEARTBEATS = 3;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final PeerRegistry peers;
    private final long unresponsiveAfterMs;
    private final long pauseThresholdMs;
    private Optional<LeaderRecord> observedRecord = Optional.empty();
    /** The time since which this controller has been able to receive messages of the recorded leader. */
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

    /** Restarts the observation after a change of the leader record or a pause. To be called once per heartbeat. */
    void check() {
        boolean paused = eventLoop.nowMs() - checkedAtMs > pauseThresholdMs;
        checkedAtMs = eventLoop.nowMs();
        if (paused || !observedRecord.equals(leadership.leaderRecord())) {
            observedRecord = leadership.leaderRecord();
            observingSinceMs = eventLoop.nowMs();
        }
    }

    /** Returns whether the recorded leader is another controller and unresponsive. */
    boolean isLeaderUnresponsive() {
        return !leadership.isLeading()
                && observedRecord.isPresent()
                && observedRecord.equals(leadership.leaderRecord())
                && eventLoop.nowMs() - lastReceivedAtMs(observedRecord.get()) >= unresponsiveAfterMs;
    }

    private long lastReceivedAtMs(LeaderRecord leader) {
        ControllerIdentity identity = new ControllerIdentity(leader.member(), leader.process());
        return Math.max(observingSinceMs, peers.lastReceivedAtMs(identity).orElse(observingSinceMs));
    }
}
