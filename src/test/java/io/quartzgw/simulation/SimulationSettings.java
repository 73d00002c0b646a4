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

/** The settings of the controllers of a simulated world. */
record SimulationSettings(AgentTiming times, StoreLimits storeLimits) {
    static final Endpoint STORE_AT = new Endpoint("10.2.0.1", 2379);
    static final Endpoint CLOUD_AT = new Endpoint("10.2.0.2", 8443);
    /** By team, the CPUs that its tasks may use; teams that are not named have no limit. */
    static final Map<String, Double> CPU_LIMITS = Map.of("red", 40.0, "green", 24.0);

    private static final int CLIENT_PORT = 8080;
    private static final int PEER_PORT = 8081;

    private static TeamQuota team(String name, double guaranteedCpus) {
        return new TeamQuota(name, guaranteedCpus, CPU_LIMITS.getOrDefault(name, 0.0), 0, 0);
    }

    private static Endpoint endpoint(int index, int port) {
        return new Endpoint("10.0.0." + (index + 1), port);
    }

    /** The settings of one controller among so many. */
    Settings of(int index, int size) {
        Map<String, Endpoint> peers = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            if (i != index) {
                peers.put("rig-" + i, endpoint(i, PEER_PORT));
            }
        }
        return new Settings(
                "rig-" + index,
                "a",
                endpoint(index, CLIENT_PORT),
                endpoint(index, PEER_PORT),
                peers,
                CLOUD_AT,
                STORE_AT,
                size,
                List.of("a", "b"),
                100,
                Map.of("red", team("red", 0), "blue", team("blue", 0), "green", team("green", 8)),
                List.of(),
                times,
                times.cancelMs() / 1000.0,
                storeLimits,
                new CloudLimits(4, 5_000),
                1000);
    }

    /** The host of the simulation that has an address. */
    static String host(Endpoint to) {
        if (to.equals(STORE_AT)) {
            return ClusterSimulation.STORE;
        }
        if (to.equals(CLOUD_AT)) {
            return ClusterSimulation.CLOUD;
        }
        if (to.host().startsWith("10.0.0.")) {
            return "rig-" + (Integer.parseInt(to.host().substring("10.0.0.".length())) - 1);
        }
        return String.format("i-%06d", to.port() - 10_000);
    }
}
