package io.quartzgw.http;

/**
 * The division of a controller's sockets. A large cluster has more agents than the controller has sockets, so
 * connections are kept alive only while there are few. Above {@code keepAliveConnections} each response closes its
 * connection, so that the listener never stops accepting for long.
 *
 * @param clientConnections maximum number of connections of the client listener
 * @param acceptBacklog maximum number of client connections waiting to be accepted; they take sockets too
 * @param keepAliveConnections number of client connections above which each response closes its connection
 * @param directCalls maximum number of direct calls in flight; those to unreachable machines last until they time out
 * @param pooledConnections maximum number of idle outbound connections kept for later calls
 */
public record SocketBudget(
        int clientConnections, int acceptBacklog, int keepAliveConnections, int directCalls, int pooledConnections) {
    /** Minimum number of sockets of a controller, not counting those for its peers. */
    private static final int BASE_SOCKETS = 16;
    /** One message in flight in each direction, one pooled connection and one connection being opened. */
    private static final int SOCKETS_PER_PEER = 4;

    private static final double CLIENT_FRACTION = 0.7;
    private static final double BACKLOG_FRACTION = 0.07;
    /** Connections between this fraction and the client listener's are closed with their response. */
    private static final double KEEP_ALIVE_FRACTION = 0.62;

    private static final double AGENT_CALLS_FRACTION = 0.09;
    /**
     * The sockets left after all fractions, a tenth, are for calls to the state service, the cloud and the other
     * controllers.
     */
    private static final double POOLED_FRACTION = 0.05;

    /** The minimum number of sockets of a controller with the given number of peers. */
    public static int minimumSockets(int peers) {
        return BASE_SOCKETS + SOCKETS_PER_PEER * peers;
    }

    /** Divides a controller's sockets. */
    public static SocketBudget of(int sockets) {
        return new SocketBudget(
                (int) (CLIENT_FRACTION * sockets),
                Math.max(1, (int) (BACKLOG_FRACTION * sockets)),
                (int) (KEEP_ALIVE_FRACTION * sockets),
                Math.max(1, (int) (AGENT_CALLS_FRACTION * sockets)),
                (int) (POOLED_FRACTION * sockets));
    }
}
