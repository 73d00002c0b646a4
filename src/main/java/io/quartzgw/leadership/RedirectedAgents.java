package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the agents that recently sent a heartbeat to this controller although it does not lead, if this controller can
 * reach them.
 *
 * <p>A high count may mean that the leader is partitioned from its agents and should resign in favour of a controller
 * that isn't. But agents whose inbound traffic is blocked also contact every controller, and no other leader could
 * serve them better. So one agent is probed per heartbeat, and the agents count only while probes are answered.
 */
final class RedirectedAgents {
    /** An agent counts for this long after a heartbeat, since it also tries the leader for some seconds in between. */
    private static final int EXPIRY_HEARTBEATS = 6;
    /** A controller that missed this many heartbeats was paused; the messages it reads next may be outdated. */
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

    /** The last heartbeat of an agent to this controller. */
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

    /** Probes one of the agents. To be called once per heartbeat. */
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

    // Protects the leader that was elected during a pause. A controller that resumes would count the queued heartbeats
    // as agents that need a leader now. If many machines are lost at the same time, it would depose a healthy leader.
    private void discardAfterPause() {
        if (eventLoop.nowMs() - lastProbeAtMs > PAUSE_HEARTBEATS * heartbeatMs) {
            redirections.clear();
            ignoreHeartbeatsUntilMs = eventLoop.nowMs() + IGNORE_AFTER_PAUSE_HEARTBEATS * heartbeatMs;
        }
    }

    /** Returns the number of agents recently redirected, or 0 if none of them recently responded to a probe. */
    int count() {
        if (!isRecent(lastProbeResponseAtMs)) {
            return 0;
        }
        return (int) redirections.values().stream()
                .filter(redirection -> isRecent(redirection.receivedAtMs()))
                .count();
    }

    private boolean isRecent(long timeMs) {
        return eventLoop.nowMs() - timeMs <= EXPIRY_HEARTBEATS * heartbeatMs;
    }
}
