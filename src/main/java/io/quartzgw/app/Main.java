package io.quartzgw.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line entry point. */
@Command(
        name = "quartzgw",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Runs one controller of a quartzgw cluster until it is killed.",
        footer = {"", "The variable LOG_LEVEL (error, info, debug) says how much is logged to standard error."})
public final class Main implements Callable<Integer> {
    private static final int INVALID_SETTINGS_STATUS = 2;

    @Option(names = "--config", paramLabel = "FILE", required = true, description = "the settings file (TOML)")
    private Path config;

    @Option(names = "--check-config", description = "check the settings, say what is wrong with them, and exit")
    private boolean checkOnly;

    /** Runs the command line and exits with its status. */
    public static void main(String[] args) {
        // Must be set before the first logger is created.
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.io.undertow", level.equals("debug") ? "info" : "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        Settings settings;
        try {
            settings = SettingsReader.read(config);
        } catch (InvalidSettingsException e) {
            System.err.println("quartzgw: " + e.getMessage());
            return INVALID_SETTINGS_STATUS;
        }
        if (checkOnly) {
            System.out.println("settings of " + settings.member() + " are usable");
            return 0;
        }
        Logger log = LoggerFactory.getLogger(Main.class);
        ControllerProcess controller = new ControllerProcess(settings, newProcessNumber(settings.member()));
        controller.start();
        log.atInfo()
                .addKeyValue("member", settings.member())
                .addKeyValue("client_listen", settings.clientListen())
                .addKeyValue("peer_listen", settings.peerListen())
                .log("controller started");
        controller.join();
        return 0;
    }

    // Returns a number that differs, with high probability, for each process of each controller. It also seeds
    // the random numbers, which must differ between controllers that start at the same time. A controller may restart
    // within a fraction of a second while its wall clock is adjusted, so the monotonic clock is mixed in as well.
    private static long newProcessNumber(String member) {
        long mixed = System.currentTimeMillis() * 1_000_003
                + System.nanoTime() * 31
                + ProcessHandle.current().pid();
        return (mixed * 31 + member.hashCode()) & Long.MAX_VALUE;
    }

    /** Reads the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"quartzgw " + (version == null ? "(not from a jar)" : version)};
        }
    }
}
