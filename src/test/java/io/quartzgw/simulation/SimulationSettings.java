package io.quartzgw.simulation;

import io.quartzgw.app.Settings;
import io.quartzgw.fleet.CloudLimits;
import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.TeamQuota;
import io.quartzgw.store.StoreLimits;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of the controllers of a simulated cluster.
 *
 * @param guaranteedCpus the CPUs that stay rented for an objective on guaranteed quotas; 0 if there is no such
 *     objective
 */
record SimulationSettings(AgentTiming timing, StoreLimits storeLimits, double guaranteedCpus) {
    /** CPU quotas by team; teams without an entry have no quota. */
    static final Map<String, Double> CPU_LIMITS = Map.of("red", 40.0, "green", 24.0);

    private static final int CLIENT_PORT = 8080;
    private static final int PEER_PORT = 8081;

    private static TeamQuota teamQuota(String name, double guaranteedCpus) {
        return new TeamQuota(name, guaranteedCpus, CPU_LIMITS.getOrDefault(name, 0.0), 0, 0);
    }

    /** The same settings with other limits of the state service. */
    SimulationSettings withStoreLimits(StoreLimits limits) {
        return new SimulationSettings(timing, limits, guaranteedCpus);
    }

    /** The settings of one controller in a cluster of {@code size} controllers. */
    Settings forController(int index, int size) {
        Map<String, Endpoint> peers = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            if (i != index) {
                peers.put(Hosts.controller(i), Hosts.controllerEndpoint(i, PEER_PORT));
            }
        }
        return new Settings(
                Hosts.controller(index),
                "a",
                Hosts.controllerEndpoint(index, CLIENT_PORT),
                Hosts.controllerEndpoint(index, PEER_PORT),
                peers,
                Hosts.CLOUD_ENDPOINT,
                Hosts.STORE_ENDPOINT,
                size,
                List.of("a", "b"),
                100,
                Map.of(
                        "red",
                        teamQuota("red", 0),
                        "blue",
                        teamQuota("blue", 0),
                        "green",
                        teamQuota("green", guaranteedCpus > 0 ? guaranteedCpus : 8)),
                guaranteedCpus > 0 ? List.of(new Settings.Objective("guarantee", "", 5, 0, 0.9)) : List.of(),
                timing,
                timing.cancelLimitMs() / 1000.0,
                storeLimits,
                new CloudLimits(4, 5_000),
                1000);
    }
}
