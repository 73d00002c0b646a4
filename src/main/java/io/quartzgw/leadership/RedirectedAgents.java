package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Agents that sent a heartbeat to this controller while another one leads, or none, and whether this controller can
 * reach them.
 *
 * <p>Many of them may mean that the leader is cut off from its agents, and should give up its term to a controller that
 * isn't. But agents that receive nothing turn up at every controller as well, and no other leader would serve them
 * better. So one of them is probed at each heartbeat, and they count only while such probes are answered.
 */
final class RedirectedAgents {
    /** How long an agent counts: in between it tries the leader for some seconds. */
    private static final int EXPIRY_HEARTBEATS = 6;
    /** A controller that has missed so many heartbeats was paused; what it reads for a while after that is old. */
    private static final int PAUSE_HEARTBEATS = 3;

    private static final int IGNORE_AFTER_PAUSE_HEARTBEATS = 2;
    private static final String PROBE_PATH = "/show";
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop eventLoop;
    private final long heartbeatMs;
    private final Map<String, Redirection> redirections = new HashMap<>();
    private long lastProbeResponseAtMs = NEVER;
    private long lastProbeAtMs;
    private long ignoreHeartbeatsUntilMs = NEVER;

    /** An agent's last heartbeat to this controller. */
    private record Redirection(Endpoint address, long receivedAtMs) {}

    RedirectedAgents(EventLoop eventLoop, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.heartbeatMs = heartbeatMs;
        this.lastProbeAtMs = eventLoop.nowMs();
    }

    /** Records that an agent has sent a heartbeat to this controller. */
    void add(String machine, Endpoint address) {
        if (eventLoop.nowMs() > ignoreHeartbeatsUntilMs) {
            redirections.put(machine, new Redirection(address, eventLoop.nowMs()));
        }
    }

    /** Probes one of the agents; to be called once a heartbeat. */
    void probe() {
        discardAfterPause();
        lastProbeAtMs = eventLoop.nowMs();
        redirections.values().removeIf(redirection -> !isRecent(redirection.receivedAtMs()));
        if (redirections.isEmpty()) {
            return;
        }
        List<Redirection> recent = List.copyOf(redirections.values());
        Endpoint address = recent.get(eventLoop.random().nextInt(recent.size())).address();
        eventLoop.call(Call.get(address, PROBE_PATH, heartbeatMs), reply -> {
            if (reply.ok()) {
                lastProbeResponseAtMs = eventLoop.nowMs();
            }
        });
    }

    // Guards the leader that was elected meanwhile: to a controller that was paused, heartbeats that were queued look
    // like agents that are turned away now, and with a wave of lost machines they would depose a healthy leader.
    private void discardAfterPause() {
        if (eventLoop.nowMs() - lastProbeAtMs > PAUSE_HEARTBEATS * heartbeatMs) {
            redirections.clear();
            ignoreHeartbeatsUntilMs = eventLoop.nowMs() + IGNORE_AFTER_PAUSE_HEARTBEATS * heartbeatMs;
        }
    }

    /** How many agents this controller has lately turned away; 0 while it reaches none of them. */
    int count() {
        if (!isRecent(lastProbeResponseAtMs)) {
            return 0;
        }
        return (int) redirections.values().stream()
                .filter(redirection -> isRecent(redirection.receivedAtMs()))
                .count();
    }

    private boolean isRecent(long momentMs) {
        return eventLoop.nowMs() - momentMs <= EXPIRY_HEARTBEATS * heartbeatMs;
    }
}
