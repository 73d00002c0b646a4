package io.quartzgw.http;

/**
 * How a controller's sockets are divided. Agents outnumber them on a large cluster, so connections are kept alive only
 * while there are few: above {@code keepAliveConnections} each response closes its connection, so that accepting never
 * has to stop for long.
 *
 * @param clientConnections the most connections of the client listener
 * @param acceptBacklog client connections that may wait to be accepted; they take sockets too
 * @param keepAliveConnections above so many client connections, each response closes its connection
 * @param agentCalls direct calls to agents in flight; those to unreachable machines last until they time out
 * @param pooledConnections idle outbound connections kept for the next call
 */
public record SocketBudget(
        int clientConnections, int acceptBacklog, int keepAliveConnections, int agentCalls, int pooledConnections) {
    /** The fewest sockets that a controller can work with, besides those for each peer. */
    private static final int BASE_SOCKETS = 16;
    /** One message in flight in each direction, one pooled connection, and one being opened. */
    private static final int SOCKETS_PER_PEER = 4;

    private static final double CLIENT_FRACTION = 0.7;
    private static final double BACKLOG_FRACTION = 0.07;
    /** Between this and the client listener's part are the connections that close with their response. */
    private static final double KEEP_ALIVE_FRACTION = 0.62;

    private static final double AGENT_CALLS_FRACTION = 0.09;
    /** The remaining tenth is for calls to the state service, the cloud and the other controllers. */
    private static final double POOLED_FRACTION = 0.05;

    /** The fewest sockets that a controller with so many peers can work with. */
    public static int minimumFor(int peers) {
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
