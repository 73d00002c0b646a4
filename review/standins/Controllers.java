import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The platform: starts controllers by the deploy file, kills them and starts them again. */
final class Controllers {
    /** The text of a controller's settings after its own addresses. */
    interface Facts {
        String text(int controller);
    }

    private final Path folder;
    private final Path repository;
    private final String[] clientAddresses;
    private final String[] peerAddresses;
    private final Process[] processes;
    private final String site;
    private Facts facts;
    private boolean over;

    Controllers(int count, String site, Path folder, Path repository) {
        this.folder = folder;
        this.repository = repository;
        this.site = site;
        this.clientAddresses = new String[count];
        this.peerAddresses = new String[count];
        this.processes = new Process[count];
        for (int i = 0; i < count; i++) {
            clientAddresses[i] = Lab.LOOPBACK + ":" + Lab.freePort();
            peerAddresses[i] = Lab.LOOPBACK + ":" + Lab.freePort();
        }
    }

    static String name(int controller) {
        return "rig-" + controller;
    }

    int count() {
        return processes.length;
    }

    String clientAddress(int controller) {
        return clientAddresses[controller];
    }

    /** The number of the controller with this name, or -1. */
    int indexOf(String name) {
        for (int i = 0; i < count(); i++) {
            if (name(i).equals(name)) {
                return i;
            }
        }
        return -1;
    }

    void setFacts(Facts newFacts) {
        facts = newFacts;
    }

    private List<String> command(Path settings) throws IOException {
        String run = Files.readAllLines(repository.resolve("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>(
                Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        command.add(settings.toString());
        return command;
    }

    synchronized void start(int controller) throws IOException {
        if (over) {
            return;
        }
        StringBuilder text = new StringBuilder();
        text.append("member = \"" + name(controller) + "\"\nsite = \"" + site + "\"\n");
        text.append("client_listen = \"" + clientAddresses[controller] + "\"\n");
        text.append("peer_listen = \"" + peerAddresses[controller] + "\"\n\n");
        for (int i = 0; i < count(); i++) {
            if (i != controller) {
                text.append("[[known]]\nmember = \"" + name(i) + "\"\nsite = \"" + site + "\"\nendpoint = \""
                        + peerAddresses[i] + "\"\n\n");
            }
        }
        text.append(facts.text(controller));
        Path settings = folder.resolve(name(controller) + ".toml");
        Files.writeString(settings, text);
        ProcessBuilder builder = new ProcessBuilder(command(settings)).directory(repository.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(name(controller) + ".log").toFile()));
        processes[controller] = builder.start();
        // For run.sh, which ends these processes if this one can't.
        Files.writeString(
                folder.resolve("pids"),
                processes[controller].pid() + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        Lab.note("platform: %s started, process %d", name(controller), processes[controller].pid());
    }

    /** Kills a controller without a signal that it could handle. */
    synchronized void kill(int controller) throws InterruptedException {
        Lab.note("platform: %s killed", name(controller));
        processes[controller].destroyForcibly();
        processes[controller].waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits until a controller is ready; returns false after the time. */
    boolean awaitReady(int controller, double timeoutS) throws InterruptedException {
        double until = Lab.now() + timeoutS;
        while (Lab.now() < until) {
            if (Lab.send("GET", clientAddresses[controller], "/ready", null, 1).status() == 200) {
                Lab.note("platform: %s ready", name(controller));
                return true;
            }
            Lab.sleep(0.1);
        }
        return false;
    }

    /** The counters under /metrics, as text. */
    String metrics(int controller) {
        return Lab.send("GET", peerAddresses[controller], "/metrics", null, 2).text();
    }

    synchronized void endAll() {
        over = true;
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** The lines of all logs that contain a text. */
    List<String> logLines(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (int i = 0; i < count(); i++) {
            Path log = folder.resolve(name(i) + ".log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains(text)) {
                        found.add(name(i) + ": " + line);
                    }
                }
            }
        }
        return found;
    }
}
