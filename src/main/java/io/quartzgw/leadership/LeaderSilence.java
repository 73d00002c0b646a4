package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import java.util.Optional;

/**
 * How long this controller has heard nothing of the leader that the state store names, while it ran itself. A leader
 * whose lease is not renewed is replaced before it counts as silent, unless the store's outages keep the lease alive.
 */
final class LeaderSilence {
    /** A leader that was not heard for so many of its leases is silent. */
    private static final double SILENT_LEASES = 1.5;
    /** Without a check for so many heartbeats, this controller was paused, and could not have heard anybody. */
    private static final int PAUSE_HEARTBEATS = 3;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final PeerRegistry peers;
    private final long silentMs;
    private final long pauseMs;
    private Optional<LeaderRecord> record = Optional.empty();
    /** Since when this controller could have heard the leader of the record. */
    private long listeningSinceMs;

    private long checkedAtMs;

    LeaderSilence(EventLoop eventLoop, Leadership leadership, PeerRegistry peers, LeadershipTiming timing) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.peers = peers;
        this.silentMs = (long) (SILENT_LEASES * timing.leaseMs());
        this.pauseMs = PAUSE_HEARTBEATS * timing.heartbeatMs();
        this.listeningSinceMs = eventLoop.nowMs();
        this.checkedAtMs = eventLoop.nowMs();
    }

    /** Notices another leader record and pauses of this process; to be called once a heartbeat. */
    void check() {
        boolean paused = eventLoop.nowMs() - checkedAtMs > pauseMs;
        checkedAtMs = eventLoop.nowMs();
        if (paused || !record.equals(leadership.leaderRecord())) {
            record = leadership.leaderRecord();
            listeningSinceMs = eventLoop.nowMs();
        }
    }

    /** Whether the recorded leader is another controller that was not heard for long. */
    boolean isSilent() {
        return !leadership.leading()
                && record.isPresent()
                && record.equals(leadership.leaderRecord())
                && eventLoop.nowMs() - heardAtMs(record.get()) >= silentMs;
    }

    private long heardAtMs(LeaderRecord leader) {
        ControllerIdentity identity = new ControllerIdentity(leader.member(), leader.process());
        return Math.max(listeningSinceMs, peers.heardAtMs(identity).orElse(listeningSinceMs));
    }
}
