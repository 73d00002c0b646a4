package io.quartzgw.app;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;

/**
 * Detects that the leader is partitioned from its agents. During such a partition the agents' leases expire, but the
 * leader's own lease does not. Other controllers detect the partition, since agents without a response send heartbeats
 * to them.
 */
final class AgentReachability {
    /** An agent is unresponsive if this leader has not responded to it for this many heartbeat intervals. */
    private static final int UNRESPONSIVE_HEARTBEATS = 2;
    /**
     * If more than this fraction of the agents is unresponsive, a failover is worthwhile: it is short and costs less
     * than the expiry of their leases.
     */
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

    /** Whether many agents are unresponsive and another controller reaches more agents than half their number. */
    boolean isPartitioned() {
        long running = 0;
        long unresponsive = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && !machine.reservationExpired()) {
                running++;
                unresponsive += isUnresponsive(machine) ? 1 : 0;
            }
        }
        return unresponsive > PARTITIONED_FRACTION * running && peers.maxRedirectedAgentsOfPeers() > unresponsive / 2;
    }

    private boolean isUnresponsive(Machine machine) {
        long lastResponseAt = Math.max(machine.liveness().lastResponseAt(), electedAt);
        return eventLoop.nowMs() - lastResponseAt >= unresponsiveAfterMs;
    }
}
