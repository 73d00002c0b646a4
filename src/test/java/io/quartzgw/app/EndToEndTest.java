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

/** Runs three controllers over HTTP on loopback, with a simulated state service, cloud and agents. */
class EndToEndTest {

    @Test
    @Timeout(120)
    void runsJobsBeforeAndAfterLossOfController(@TempDir Path folder) throws Exception {
        try (LoopbackCluster cluster = new LoopbackCluster(3)) {
            ControllerProcess[] controllers = new ControllerProcess[3];
            for (int i = 0; i < 3; i++) {
                controllers[i] = new ControllerProcess(SettingsReader.read(cluster.writeSettings(i, folder)), 100 + i);
                controllers[i].start();
            }
            ObjectNode array = JobRequests.array("j-000001", "blue", 3, 2, 0.3);
            awaitCondition(() -> isAccepted(cluster.submit(0, array)));
            awaitCondition(() -> phase(cluster, 1, "j-000001").equals("done"));

            awaitCondition(() -> isAccepted(cluster.submit(1, JobRequests.service("j-000002", "blue", 2, 2))));
            awaitCondition(() -> phase(cluster, 2, "j-000002").equals("running"));
            controllers[0].stop();
            awaitCondition(() -> isAccepted(cluster.submit(1, JobRequests.array("j-000003", "blue", 2, 2, 0.3))));
            awaitCondition(() -> phase(cluster, 2, "j-000003").equals("done"));
            Reply cancelled = cluster.request(2, "POST", "/submissions/j-000002/abort", Json.object());
            assertEquals(200, cancelled.status());
            assertEquals("withdrawn", cancelled.json().path("phase").asText());

            assertEquals(200, cluster.request(1, "GET", "/ready").status());
            assertInvalidRequestsAreRejected(cluster);
            assertMetricsAreServed(cluster);
            for (ControllerProcess controller : controllers) {
                controller.stop();
            }
        }
    }

    private static void assertInvalidRequestsAreRejected(LoopbackCluster cluster) {
        assertEquals(
                400,
                cluster.requestWithRawBody(1, "POST", "/submissions", HttpRequest.BodyPublishers.ofString("{"))
                        .status());
        assertEquals(
                413,
                cluster.requestWithRawBody(
                                1, "POST", "/submissions", HttpRequest.BodyPublishers.ofByteArray(new byte[70_000]))
                        .status());
    }

    private static void assertMetricsAreServed(LoopbackCluster cluster) {
        Reply metrics = cluster.getFromPeerListener(1, "/metrics");
        assertEquals(200, metrics.status());
        assertEquals(0, metrics.json().path("counts").path("failures").asLong(-1));
        assertTrue(metrics.json().path("counts").path("store.requests").asLong() > 0);
        assertTrue(metrics.json().path("process").path("requests").path("count").asDouble() > 0);
    }

    private static boolean isAccepted(Reply reply) {
        return reply.status() / 100 == 2;
    }

    private static String phase(LoopbackCluster cluster, int controller, String job) {
        return cluster.request(controller, "GET", "/submissions/" + job)
                .json()
                .path("phase")
                .asText();
    }

    private static void awaitCondition(BooleanSupplier condition) {
        for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
            LoopbackCluster.sleep(100);
        }
        assertTrue(condition.getAsBoolean(), "condition not met in time");
    }
}
