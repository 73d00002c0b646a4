package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Workers that reported here while another controller leads, or none, and whether this node reaches them.
 *
 * <p>Many of them may mean that the leader is cut off from its workers, and should give up its term to one that isn't.
 * But workers that hear nobody turn up everywhere as well, and no leader would serve them better: so one of them is
 * asked now and then, and only those that answer speak for another leader.
 */
final class RedirectedAgents {
    /** How long a worker counts: it tries the leader for some seconds in between. */
    private static final int EXPIRY_HEARTBEATS = 6;
    /** A node that has missed so many heartbeats stood still; what it reads for a while after that is old. */
    private static final int STALL_HEARTBEATS = 3;

    private static final int IGNORE_AFTER_STALL_HEARTBEATS = 2;

    private final EventLoop eventLoop;
    private final long heartbeatMs;
    private final Map<String, Redirection> redirections = new HashMap<>();
    private long lastReachedAt = Long.MIN_VALUE / 2;
    private long probedAt;
    private long ignoreUntil = Long.MIN_VALUE / 2;

    private record Redirection(Endpoint address, long at) {}

    RedirectedAgents(EventLoop eventLoop, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.heartbeatMs = heartbeatMs;
        this.probedAt = eventLoop.nowMs();
    }

    void add(String machine, Endpoint address) {
        if (eventLoop.nowMs() > ignoreUntil) {
            redirections.put(machine, new Redirection(address, eventLoop.nowMs()));
        }
    }

    /** Asks one of them; to be called once a heartbeat. */
    void probe() {
        // Guards the leader that was elected meanwhile: to a node that stood still, reports that had waited for it
        // look like workers that are turned away now, and with a wave of lost machines they would depose a healthy one.
        if (eventLoop.nowMs() - probedAt > STALL_HEARTBEATS * heartbeatMs) {
            redirections.clear();
            ignoreUntil = eventLoop.nowMs() + IGNORE_AFTER_STALL_HEARTBEATS * heartbeatMs;
        }
        probedAt = eventLoop.nowMs();
        redirections.values().removeIf(seen -> !isRecent(seen.at));
        if (redirections.isEmpty()) {
            return;
        }
        List<Redirection> recent = List.copyOf(redirections.values());
        Endpoint address = recent.get(eventLoop.random().nextInt(recent.size())).address();
        eventLoop.call(Call.get(address, "/show", heartbeatMs), reply -> {
            if (reply.ok()) {
                lastReachedAt = eventLoop.nowMs();
            }
        });
    }

    /** How many speak for another leader. */
    int count() {
        return isRecent(lastReachedAt)
                ? (int) redirections.values().stream()
                        .filter(seen -> isRecent(seen.at))
                        .count()
                : 0;
    }

    private boolean isRecent(long moment) {
        return eventLoop.nowMs() - moment <= EXPIRY_HEARTBEATS * heartbeatMs;
    }
}
