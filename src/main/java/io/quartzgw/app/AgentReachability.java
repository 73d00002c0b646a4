package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;

/**
 * Tells whether the leader is partitioned from its agents. Such a partition leaves the leader's own lease untouched
 * while the agents' leases expire; the other controllers see it, since agents that get no answer here turn up there.
 */
final class AgentReachability {
    /** An agent that was not answered for this many heartbeat intervals is silent. */
    private static final int UNRESPONSIVE_HEARTBEATS = 2;
    /** A failover is short: it costs less than the leases of so large a part of the agents. */
    private static final double PARTITIONED_FRACTION = 0.25;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final PeerExchange peers;
    private final long unresponsiveAfterMs;
    private final long electedAt;

    /** @param heartbeatMs the agents' heartbeat interval */
    AgentReachability(EventLoop eventLoop, ClusterState cluster, PeerExchange peers, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.peers = peers;
        this.unresponsiveAfterMs = UNRESPONSIVE_HEARTBEATS * heartbeatMs;
        this.electedAt = eventLoop.nowMs();
    }

    /** Whether many agents are silent here, and a good part of them reaches another controller. */
    boolean isPartitioned() {
        long running = 0;
        long silent = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && !machine.reservationExpired()) {
                running++;
                silent += isUnresponsive(machine) ? 1 : 0;
            }
        }
        return silent > PARTITIONED_FRACTION * running && peers.agentsReachingOthers() > silent / 2;
    }

    private boolean isUnresponsive(Machine machine) {
        long lastResponseAt = Math.max(machine.liveness().lastResponseAt(), electedAt);
        return eventLoop.nowMs() - lastResponseAt >= unresponsiveAfterMs;
    }
}
