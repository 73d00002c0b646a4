package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.simulation.LoopbackCluster;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Responses of the client listener to requests that it rejects, as users see them over HTTP. */
@Timeout(60)
class BadInputTest {
    private static final String SUBMISSIONS_PATH = "/submissions";
    private static final int OVERSIZED_BODY_BYTES = 70_000;
    private static final int MAX_POLLS = 200;

    @TempDir
    Path folder;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private LoopbackCluster cluster;
    private ControllerProcess controller;

    @BeforeEach
    void start() throws Exception {
        cluster = new LoopbackCluster(1);
        controller = new ControllerProcess(SettingsReader.read(cluster.writeSettings(0, folder)), 100);
        controller.start();
    }

    @AfterEach
    void stop() {
        controller.stop();
        cluster.close();
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + cluster.clientPort(0) + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private int status(String method, String path, String body) throws Exception {
        return send(method, path, body).statusCode();
    }

    private static ObjectNode validJob(String id) {
        return JobRequests.array(id, "blue", 1, 1, 1);
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < MAX_POLLS && status("GET", "/ready", "") != 200; i++) {
            LoopbackCluster.sleep(50);
        }
        assertEquals(200, status("GET", "/ready", ""));
    }

    @Test
    void rejectsMalformedSubmissionsWith400() throws Exception {
        awaitReady();
        List<String> bodies = new ArrayList<>(List.of("", "{", "[]", "17", "null", "{}", "{\"id\":\"j-1\"}"));
        ObjectNode valid = validJob("j-000001");
        valid.fieldNames().forEachRemaining(field -> {
            if (!valid.path(field).isNull() && !field.equals("each_longer_s")) {
                bodies.add(valid.deepCopy().without(field).toString());
            }
        });
        bodies.add(validJob("j-000001").put("shards", "one").toString());
        bodies.add(validJob("j-000001").put("cpus", -1.0).toString());
        bodies.add(validJob("j-000001").put("urgency", "now").toString());
        List<String> notRejected = new ArrayList<>();
        for (String body : bodies) {
            if (status("POST", SUBMISSIONS_PATH, body) != 400) {
                notRejected.add(body);
            }
        }
        assertEquals(List.of(), notRejected);
        assertEquals(404, status("GET", SUBMISSIONS_PATH + "/j-000001", ""));
    }

    @Test
    void rejectsUnsatisfiableJobsWith422() throws Exception {
        awaitReady();
        assertEquals(
                422,
                status(
                        "POST",
                        SUBMISSIONS_PATH,
                        validJob("j-000001").put("cpus", 99.0).toString()));
        assertEquals(
                422,
                status(
                        "POST",
                        SUBMISSIONS_PATH,
                        validJob("j-000002").put("crew", "nobody").toString()));
        assertEquals(
                422,
                status(
                        "POST",
                        SUBMISSIONS_PATH,
                        validJob("j-000003").put("yard", "nowhere").toString()));
    }

    @Test
    void returnsMatchingClientErrorForInvalidRequests() throws Exception {
        awaitReady();
        assertEquals(404, status("GET", SUBMISSIONS_PATH + "/j-999999", ""));
        assertEquals(404, status("POST", SUBMISSIONS_PATH + "/j-999999/abort", "{}"));
        assertEquals(404, status("GET", "/nowhere", ""));
        assertEquals(405, status("DELETE", SUBMISSIONS_PATH + "/j-999999", ""));
        assertEquals(405, status("GET", SUBMISSIONS_PATH, ""));
        assertEquals(405, status("GET", "/hello", ""));
        assertEquals(405, status("POST", "/ready", ""));
        assertEquals(400, status("POST", "/hello", "{\"host\":7}"));
        assertEquals(413, status("POST", SUBMISSIONS_PATH, " ".repeat(OVERSIZED_BODY_BYTES)));
    }

    // A user must not wait for a state service that is down: the request is rejected immediately, with a retry time.
    @Test
    void returns503WithRetryAfterDuringStoreOutage() throws Exception {
        awaitReady();
        cluster.setStoreOutage(true);
        HttpResponse<String> response =
                send("POST", SUBMISSIONS_PATH, validJob("j-000001").toString());
        for (int i = 0; i < MAX_POLLS && response.statusCode() != 503; i++) {
            LoopbackCluster.sleep(50);
            response = send(
                    "POST", SUBMISSIONS_PATH, validJob("j-00" + (1_000 + i)).toString());
        }
        assertEquals(503, response.statusCode());
        int retryAfterS =
                Integer.parseInt(response.headers().firstValue("Retry-After").orElse("0"));
        assertTrue(retryAfterS >= 1 && retryAfterS <= 30, "users honor values from 1 to 30 s");
        assertEquals(503, status("GET", SUBMISSIONS_PATH + "/j-999999", ""));
    }
}
