package io.quartzgw.leadership;

import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.loop.Kernel;
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
final class RedirectedWorkers {
    /** How long a worker counts: it tries the leader for some seconds in between. */
    private static final int COUNTED_HEARTBEATS = 6;
    /** A node that has missed so many heartbeats stood still; what it reads for a while after that is old. */
    private static final int STOOD_STILL_HEARTBEATS = 3;

    private static final int OLD_NEWS_HEARTBEATS = 2;

    private final Kernel kernel;
    private final long heartbeatMs;
    private final Map<String, Seen> workers = new HashMap<>();
    private long reachedAt = Long.MIN_VALUE / 2;
    private long probedAt;
    private long oldNewsUntil = Long.MIN_VALUE / 2;

    private record Seen(Endpoint address, long at) {}

    RedirectedWorkers(Kernel kernel, long heartbeatMs) {
        this.kernel = kernel;
        this.heartbeatMs = heartbeatMs;
        this.probedAt = kernel.now();
    }

    void add(String machine, Endpoint address) {
        if (kernel.now() > oldNewsUntil) {
            workers.put(machine, new Seen(address, kernel.now()));
        }
    }

    /** Asks one of them; to be called once a heartbeat. */
    void probe() {
        // Guards the leader that was elected meanwhile: to a node that stood still, reports that had waited for it
        // look like workers that are turned away now, and with a wave of lost machines they would depose a healthy one.
        if (kernel.now() - probedAt > STOOD_STILL_HEARTBEATS * heartbeatMs) {
            workers.clear();
            oldNewsUntil = kernel.now() + OLD_NEWS_HEARTBEATS * heartbeatMs;
        }
        probedAt = kernel.now();
        workers.values().removeIf(seen -> !lately(seen.at));
        if (workers.isEmpty()) {
            return;
        }
        List<Seen> some = List.copyOf(workers.values());
        Endpoint address = some.get(kernel.random().nextInt(some.size())).address();
        kernel.call(Call.get(address, "/show", heartbeatMs), reply -> {
            if (reply.ok()) {
                reachedAt = kernel.now();
            }
        });
    }

    /** How many speak for another leader. */
    int count() {
        return lately(reachedAt)
                ? (int) workers.values().stream()
                        .filter(seen -> lately(seen.at))
                        .count()
                : 0;
    }

    private boolean lately(long moment) {
        return kernel.now() - moment <= COUNTED_HEARTBEATS * heartbeatMs;
    }
}
