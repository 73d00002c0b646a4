import java.util.List;
import java.util.Map;

/** The settings and machines of the deployment pakkasosuus-quartzgw, with fewer machines. */
final class Yards {
    static final double REPORT_S = 2.5;
    static final double LEASE_S = 18;
    static final double STATE_RPS = 150;
    static final double STATE_WRITE_RPS = 60;
    static final double STATE_VALUE_KB = 8;
    static final int STATE_TXN_OPS = 48;
    static final double CLOUD_RPS = 4;
    static final double CLOUD_LAG_S = 5;

    private Yards() {}

    /** The machine types, with one machine of each in each zone. */
    static List<Cloud.Type> fewMachines() {
        return types(1, 1, 1, 1);
    }

    /** The machine types, with the ordinary machines that the site has. */
    static List<Cloud.Type> allMachines() {
        return types(5, 4, 4, 3);
    }

    private static List<Cloud.Type> types(int smallOulu, int smallKotka, int largeOulu, int largeKotka) {
        return List.of(
                new Cloud.Type(
                        "pakkas-8", 8, 32, 0.31, 25, 1.0, Map.of("oulu-yard", smallOulu, "kotka-yard", smallKotka)),
                new Cloud.Type(
                        "routa-16", 16, 32, 0.57, 20, 0.5, Map.of("oulu-yard", largeOulu, "kotka-yard", largeKotka)));
    }

    /** The part [facts] and [external] of the settings. */
    static String facts(String cloud, String state, double valueKb) {
        StringBuilder text = new StringBuilder();
        text.append("[external]\ncloud = \"" + cloud + "\"\nstate = \"" + state + "\"\n\n");
        text.append("[facts]\nsize = 3\nzones = [\"kotka-yard\", \"oulu-yard\"]\ntime_bound_ms = 100.0\n\n");
        for (int team = 0; team < 12; team++) {
            text.append(String.format("[[facts.teams]]\nname = \"varasto-ops-%02d\"\n", team));
            text.append("cpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n");
        }
        text.append("[[facts.objectives]]\nkind = \"deadline\"\nclass = \"stock-recount\"\nshare = 0.9\ntimes = 1.0\n\n");
        text.append("[[facts.objectives]]\nkind = \"wait\"\nclass = \"door-sensor-feed\"\nwithin_s = 1.0\nshare = 0.9\n\n");
        text.append("[facts.workers]\nreport_s = " + REPORT_S + "\nlease_s = " + LEASE_S + "\n");
        text.append("gang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = 48.0\n\n");
        text.append("[facts.state]\nrps = " + STATE_RPS + "\nwrite_rps = " + STATE_WRITE_RPS + "\nvalue_kb = " + valueKb
                + "\ntxn_ops = " + STATE_TXN_OPS + "\n\n");
        text.append("[facts.cloud]\nrps = " + CLOUD_RPS + "\nlist_lag_s = " + CLOUD_LAG_S + "\n\n");
        text.append("[facts.limits]\ncpu_share = 0.255\nram_mb = 263.0\nsockets = 1000\n");
        return text.toString();
    }
}
