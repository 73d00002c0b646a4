package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Creates the class-data sharing (CDS) archive during the build: runs a process of the program against simulated
 * services on the loopback interface, lets it serve a few jobs, and has it write the archive when it exits. The archive
 * reduces the startup time of the program to a fraction.
 */
public final class ClassArchive {
    private static final long TIMEOUT_MS = 20_000;

    private ClassArchive() {}

    /**
     * Writes the archive.
     *
     * @param args the path of the jar, the path of the archive, and the options of the JVM that will use the archive
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("quartzgw");
        try (LoopbackCluster cluster = new LoopbackCluster(1)) {
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(List.of(args).subList(2, args.length));
            command.addAll(List.of(
                    "-XX:ArchiveClassesAtExit=" + args[1],
                    "-jar",
                    args[0],
                    "--config",
                    cluster.writeSettings(0, directory).toString()));
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            runJobs(cluster);
            process.destroy();
            if (!process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
            }
        }
        // HTTP threads of the simulated services may wait for a reply indefinitely and would keep the JVM running.
        System.exit(0);
    }

    private static void runJobs(LoopbackCluster cluster) {
        long deadline = System.currentTimeMillis() + TIMEOUT_MS;
        ObjectNode spec = Json.object()
                .put("id", "j-000001")
                .put("workload", "w")
                .put("crew", "blue")
                .put("shape", "array")
                .put("urgency", "standard")
                .put("shards", 4)
                .put("cpus", 2.0)
                .put("gpus", 0.0)
                .put("ram_gb", 1.0)
                .put("bundle", "img")
                .put("pull_gb", 1.0)
                .put("together", false)
                .put("scatter", false)
                .put("loaner", true)
                .put("runtime_guess_s", 0.3)
                .put("snapshot_every_s", 0.0)
                .put("snapshot_cost_s", 0.0);
        while (cluster.submit(0, spec).status() / 100 != 2 && System.currentTimeMillis() < deadline) {
            LoopbackCluster.sleep(200);
        }
        cluster.request(0, "GET", "/ready");
        while (!cluster.request(0, "GET", "/submissions/j-000001")
                        .json()
                        .path("phase")
                        .asText()
                        .equals("done")
                && System.currentTimeMillis() < deadline) {
            LoopbackCluster.sleep(200);
        }
        cluster.submit(0, spec.put("id", "j-000002").put("shape", "daemon"));
        LoopbackCluster.sleep(500);
        cluster.request(0, "POST", "/submissions/j-000002/abort", Json.object());
        LoopbackCluster.sleep(300);
    }
}
