import java.util.Map;

/** The settings of the deployment hijau-iklim-cluster. */
final class Greenhouses {
    static final double REPORT_S = 2.5;
    static final double LEASE_S = 16;
    static final double STATE_RPS = 150;
    static final double STATE_WRITE_RPS = 60;
    static final double STATE_VALUE_KB = 16;
    static final int STATE_TXN_OPS = 16;
    static final double CLOUD_RPS = 2;
    static final double CLOUD_LAG_S = 12;
    static final String ZONE = "cameron-site";

    private Greenhouses() {}

    /** The machine type, with this many machines. */
    static Cloud.Type type(int machines) {
        return new Cloud.Type("tapak-16", 16, 64, 1.17, 15, 0.25, Map.of(ZONE, machines));
    }

    /** The part [facts] and [external] of the settings. */
    static String facts(String cloud, String state) {
        return "[external]\ncloud = \"" + cloud + "\"\nstate = \"" + state + "\"\n\n"
                + "[facts]\nsize = 3\nzones = [\"cameron-site\"]\ntime_bound_ms = 1000.0\n\n"
                + team("growbox-firmware", 256)
                + team("agronomy-desk", 176)
                + "[[facts.objectives]]\nkind = \"finished\"\nclass = \"sensor-backfill\"\nwithin_s = 60.0\nshare = 0.88\n\n"
                + "[[facts.objectives]]\nkind = \"finished\"\nclass = \"sensor-backfill\"\nwithin_s = 90.0\nshare = 0.96\n\n"
                + "[[facts.objectives]]\nkind = \"wait\"\nclass = \"vent-controller\"\nwithin_s = 1.0\nshare = 0.88\n\n"
                + "[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.93\n\n"
                + "[facts.workers]\nreport_s = " + REPORT_S + "\nlease_s = " + LEASE_S + "\n"
                + "gang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = 36.0\n\n"
                + "[facts.state]\nrps = " + STATE_RPS + "\nwrite_rps = " + STATE_WRITE_RPS + "\nvalue_kb = "
                + STATE_VALUE_KB + "\ntxn_ops = " + STATE_TXN_OPS + "\n\n"
                + "[facts.cloud]\nrps = " + CLOUD_RPS + "\nlist_lag_s = " + CLOUD_LAG_S + "\n\n"
                + "[facts.limits]\ncpu_share = 0.255\nram_mb = 205.0\nsockets = 1500\n";
    }

    private static String team(String name, int cpus) {
        return "[[facts.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + ".0\ncpus_max = 608.0\n"
                + "gpus = 0.0\ngpus_max = 0.0\n\n";
    }
}
