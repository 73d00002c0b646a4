package io.quartzgw.replication;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.ControllerIdentity;
import io.quartzgw.leadership.Leadership;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the replica of the last leader's starts for as long as this process lives, and serves the requests of the other
 * controllers about it.
 *
 * <p>The replica of a new leader takes the place of the former one when it is complete. As long as it is not, that
 * leader has sent no start in a direct call, since this controller has not acknowledged it.
 */
public final class ReplicaHolder {
    /** The path of the peer listener that a leader posts its updates to. */
    public static final String UPDATE_PATH = "/starts";
    /** The path of the peer listener that a new leader posts its read requests to. */
    public static final String READ_PATH = "/starts/read";

    /** How many starts a message has: at some 40 bytes each it stays below 64 KiB. */
    static final int MAX_STARTS_PER_MESSAGE = 600;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final ControllerIdentity identity;
    private final Set<String> peers;
    private Optional<StartReplica> complete = Optional.empty();
    /** The replica of a newer leader that is not complete yet. */
    private Optional<StartReplica> incoming = Optional.empty();

    /** @param peers the names of the other controllers */
    public ReplicaHolder(EventLoop eventLoop, Leadership leadership, ControllerIdentity identity, Set<String> peers) {
        this.eventLoop = eventLoop;
        this.leadership = leadership;
        this.identity = identity;
        this.peers = Set.copyOf(peers);
    }

    /** Returns the newest complete replica, if this process holds one. */
    public Optional<StartReplica> complete() {
        return complete;
    }

    /** Takes over the log of this controller's own term, which has ended. */
    public void adopt(StartReplica ownLog) {
        complete = Optional.of(ownLog);
        incoming = Optional.empty();
    }

    // ---- updates

    /** Serves a leader's update. */
    public void serveUpdate(Request request) {
        Optional<ReplicaUpdate> update =
                ReplicationCodec.decodeUpdate(request.body()).filter(received -> peers.contains(received.member()));
        if (update.isEmpty()) {
            reject(request, BAD_REQUEST, "not a leader's update");
            return;
        }
        leadership.observeTerm(update.get().term());
        // A leader that was deposed may count itself confirmed for a while: it must get no acknowledgement any more.
        if (update.get().term() < leadership.highestTerm() || leadership.leading()) {
            reject(request, CONFLICT, "not the newest term");
            return;
        }
        eventLoop.answer(request.exchange(), Response.cbor(ReplicationCodec.encode(apply(update.get()))));
    }

    private void reject(Request request, int status, String reason) {
        eventLoop.increment("replication.rejected", 1);
        eventLoop.answer(request.exchange(), Response.error(status, reason));
    }

    private ReplicaStatus apply(ReplicaUpdate update) {
        StartReplica replica = replicaOf(update.term());
        // A late copy of an update names an earlier version, or the process before this one.
        if (update.receiver() == identity.process() && update.fromVersion() == replica.version()) {
            replica.apply(update);
            promote(replica);
        }
        return new ReplicaStatus(identity.process(), update.term(), replica.version());
    }

    private StartReplica replicaOf(long term) {
        return complete.filter(replica -> replica.term() == term)
                .or(() -> incoming.filter(replica -> replica.term() == term))
                .orElseGet(() -> new StartReplica(term));
    }

    private void promote(StartReplica replica) {
        if (replica.isComplete()) {
            complete = Optional.of(replica);
            incoming = Optional.empty();
        } else {
            incoming = Optional.of(replica);
        }
    }

    // ---- reads

    /** Serves a new leader's request for a page of the complete replica. */
    public void serveRead(Request request) {
        Optional<ReplicaReadRequest> read = ReplicationCodec.decodeReadRequest(request.body())
                .filter(received -> peers.contains(received.member()));
        if (read.isEmpty()) {
            reject(request, BAD_REQUEST, "not a leader's read request");
            return;
        }
        leadership.observeTerm(read.get().term());
        ReplicaPage page = complete.map(replica -> replica.page(read.get().after(), MAX_STARTS_PER_MESSAGE))
                .orElse(ReplicaPage.NONE);
        eventLoop.answer(request.exchange(), Response.cbor(ReplicationCodec.encode(page)));
    }
}
