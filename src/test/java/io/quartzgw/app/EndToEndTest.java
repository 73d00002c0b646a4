package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.simulation.LoopbackCluster;
import java.net.http.HttpRequest;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three whole services over real HTTP on loopback, with stand-ins of the outside systems. */
class EndToEndTest {

    @Test
    @Timeout(120)
    void jobsRunThroughTheLossOfANode(@TempDir Path folder) throws Exception {
        try (LoopbackCluster cluster = new LoopbackCluster(3)) {
            ControllerProcess[] services = new ControllerProcess[3];
            for (int i = 0; i < 3; i++) {
                services[i] = new ControllerProcess(SettingsReader.read(cluster.settings(i, folder)), 100 + i);
                services[i].start();
            }
            ObjectNode array = FailureTest.job("j-000001", "blue", "array", 3, 2, 0.3);
            until(() -> cluster.submit(0, array).status() / 100 == 2);
            until(() -> phase(cluster, 1, "j-000001").equals("done"));

            until(() -> cluster.submit(1, FailureTest.job("j-000002", "blue", "daemon", 2, 2, 0))
                                    .status()
                            / 100
                    == 2);
            until(() -> phase(cluster, 2, "j-000002").equals("running"));
            services[0].stop();
            until(() -> cluster.submit(1, FailureTest.job("j-000003", "blue", "array", 2, 2, 0.3))
                                    .status()
                            / 100
                    == 2);
            until(() -> phase(cluster, 2, "j-000003").equals("done"));
            Reply aborted = cluster.request(2, "POST", "/submissions/j-000002/abort", Json.object());
            assertEquals(200, aborted.status());
            assertEquals("withdrawn", aborted.json().path("phase").asText());

            assertEquals(200, cluster.request(1, "GET", "/ready", null).status());
            assertEquals(
                    400,
                    cluster.raw(1, "POST", "/submissions", HttpRequest.BodyPublishers.ofString("{"))
                            .status());
            assertEquals(
                    413,
                    cluster.raw(1, "POST", "/submissions", HttpRequest.BodyPublishers.ofByteArray(new byte[70_000]))
                            .status());
            Reply figures = cluster.peer(1, "/metrics");
            assertEquals(200, figures.status());
            assertEquals(0, figures.json().path("counts").path("failures").asLong(-1));
            assertTrue(figures.json().path("counts").path("store.requests").asLong() > 0);
            assertTrue(figures.json()
                            .path("process")
                            .path("requests")
                            .path("count")
                            .asDouble()
                    > 0);
            for (ControllerProcess service : services) {
                service.stop();
            }
        }
    }

    private static String phase(LoopbackCluster cluster, int node, String job) {
        return cluster.request(node, "GET", "/submissions/" + job, null)
                .json()
                .path("phase")
                .asText();
    }

    private static void until(BooleanSupplier condition) {
        for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
            LoopbackCluster.pause(100);
        }
        assertTrue(condition.getAsBoolean(), "in time");
    }
}
