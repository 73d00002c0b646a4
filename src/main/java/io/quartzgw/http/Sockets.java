package io.quartzgw.http;

/**
 * What a node's sockets are spent on. Workers outnumber them on a large cluster, so a lasting connection is a favour:
 * beyond {@code lasting} each answer ends its connection, and accepting never has to stop for long.
 *
 * @param client what the client listener may hold at the most
 * @param waiting connections of clients that may wait to be accepted; they take sockets too
 * @param lasting above so many, connections of clients are closed with their next answer
 * @param orders direct calls to workers under way: machines that are cut off hold theirs until they time out
 * @param kept outbound connections kept for the next call
 */
public record Sockets(int client, int waiting, int lasting, int orders, int kept) {
    /** The least that a node can work with, besides what each other controller needs. */
    private static final int LEAST = 16;
    /** A message under way in each direction, one kept, one in the making. */
    private static final int PER_PEER = 4;

    private static final double CLIENT = 0.7;
    private static final double WAITING = 0.07;
    /** What lies between this and the client's part is room for those that come and are answered. */
    private static final double LASTING = 0.62;

    private static final double ORDERS = 0.09;
    /** Less than a tenth is left, to the state service, the cloud and the other controllers. */
    private static final double KEPT = 0.05;

    /** The fewest sockets that a node with so many others can work with. */
    public static int least(int peers) {
        return LEAST + PER_PEER * peers;
    }

    /** Shares out a node's sockets. */
    public static Sockets of(int all) {
        return new Sockets(
                (int) (CLIENT * all),
                Math.max(1, (int) (WAITING * all)),
                (int) (LASTING * all),
                Math.max(1, (int) (ORDERS * all)),
                (int) (KEPT * all));
    }
}
