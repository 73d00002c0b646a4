package io.quartzgw.simulation;

import io.quartzgw.http.Endpoint;

/** The names of the simulated hosts, and the mapping between names and network addresses. */
public final class Hosts {
    /** The state service. */
    public static final String STORE = "store";
    /** The cloud API. */
    public static final String CLOUD = "cloud";
    /** In a partition: all hosts other than the one that is named. */
    public static final String ALL = "*";

    static final Endpoint STORE_ENDPOINT = new Endpoint("10.2.0.1", 2379);
    static final Endpoint CLOUD_ENDPOINT = new Endpoint("10.2.0.2", 8443);

    private static final String CONTROLLER_PREFIX = "rig-";
    private static final String CONTROLLER_NETWORK = "10.0.0.";
    private static final String MACHINE_PREFIX = "i-";
    private static final String MACHINE_HOST = "10.1.0.1";
    private static final int FIRST_MACHINE_PORT = 10_000;

    private Hosts() {}

    /** The name of the controller with an index. */
    public static String controller(int index) {
        return CONTROLLER_PREFIX + index;
    }

    public static boolean isController(String host) {
        return host.startsWith(CONTROLLER_PREFIX);
    }

    static int controllerIndex(String host) {
        return Integer.parseInt(host.substring(CONTROLLER_PREFIX.length()));
    }

    static Endpoint controllerEndpoint(int index, int port) {
        return new Endpoint(CONTROLLER_NETWORK + (index + 1), port);
    }

    static boolean isMachine(String host) {
        return host.startsWith(MACHINE_PREFIX);
    }

    static String machine(int number) {
        return String.format(MACHINE_PREFIX + "%06d", number);
    }

    /** The address at which a machine's agent receives direct calls; all machines share one IP address. */
    static String machineAddress(String machine) {
        return MACHINE_HOST + ":" + (FIRST_MACHINE_PORT + Integer.parseInt(machine.substring(MACHINE_PREFIX.length())));
    }

    /** The name of the host that has an address. */
    static String nameOf(Endpoint endpoint) {
        if (endpoint.equals(STORE_ENDPOINT)) {
            return STORE;
        }
        if (endpoint.equals(CLOUD_ENDPOINT)) {
            return CLOUD;
        }
        if (endpoint.host().startsWith(CONTROLLER_NETWORK)) {
            return controller(Integer.parseInt(endpoint.host().substring(CONTROLLER_NETWORK.length())) - 1);
        }
        return machine(endpoint.port() - FIRST_MACHINE_PORT);
    }
}
