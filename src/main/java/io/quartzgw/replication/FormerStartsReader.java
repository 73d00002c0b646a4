package io.quartzgw.replication;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads, for a new leader, the starts of former leaders that may still be on their way.
 *
 * <p>Any complete replica will do that the record of the controllers in sync covers, whatever its term: a later leader
 * needed the acknowledgement of the process that holds it, and has sent no start in a direct call without. So this
 * process's own replica is taken if it is one, and the first one of another controller otherwise.
 */
public final class FormerStartsReader {
    private static final int NOT_FOUND = 404;

    private final EventLoop eventLoop;
    private final LeaderTerm term;
    private final ReplicaHolder holder;
    private final Identity identity;
    private final Timing timing;
    private final Set<String> withoutReplica = new HashSet<>();
    private InSyncRecord inSync = InSyncRecord.NONE;
    private Optional<Consumer<FormerStarts>> listener = Optional.empty();

    /**
     * Who reads, and from whom.
     *
     * @param member this controller
     * @param endpoints the peer listeners of the other controllers, by member
     */
    public record Identity(String member, Map<String, Endpoint> endpoints) {}

    /**
     * The durations of reading.
     *
     * @param retryMs the pause before a controller that has not answered is asked again, and how long its answer may
     *     take
     * @param limitMs how long a new leader waits for a complete replica
     */
    public record Timing(long retryMs, long limitMs) {}

    /** Creates the reader of the current term. */
    public FormerStartsReader(
            EventLoop eventLoop, LeaderTerm term, ReplicaHolder holder, Identity identity, Timing timing) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.holder = holder;
        this.identity = identity;
        this.timing = timing;
    }

    /**
     * Begins to read; the result is passed on once, while this leader's term is current.
     *
     * @param inSyncRecord what the state service has after the election
     */
    public void read(InSyncRecord inSyncRecord, Consumer<FormerStarts> onRead) {
        inSync = inSyncRecord;
        listener = Optional.of(onRead);
        Optional<StartReplica> own =
                holder.complete().filter(replica -> inSync.covers(identity.member(), replica.term()));
        if (own.isPresent()) {
            finish(new FormerStarts.Known(identity.member(), own.get()));
            return;
        }
        identity.endpoints().keySet().forEach(this::readFrom);
        finishIfNobodyHasReplica();
        eventLoop.after(timing.limitMs(), this::giveUp);
    }

    private void finish(FormerStarts result) {
        Optional<Consumer<FormerStarts>> waiting = listener.filter(unused -> term.isCurrent());
        listener = Optional.empty();
        waiting.ifPresent(consumer -> consumer.accept(result));
    }

    private void giveUp() {
        finish(new FormerStarts.Unknown(withoutReplica.size()));
    }

    private void finishIfNobodyHasReplica() {
        if (withoutReplica.size() == identity.endpoints().size()) {
            giveUp();
        }
    }

    private void readFrom(String source) {
        readPage(source, new ArrayList<>(), "");
    }

    private void readPage(String source, List<ReplicaPage> pages, String after) {
        if (listener.isEmpty() || !term.isCurrent()) {
            return;
        }
        ReplicaReadRequest request = new ReplicaReadRequest(identity.member(), term.number(), after);
        Call call = Call.postCbor(
                identity.endpoints().get(source),
                ReplicaHolder.READ_PATH,
                ReplicationCodec.encode(request),
                timing.retryMs());
        eventLoop.call(call, reply -> onReply(source, pages, reply));
    }

    private void onReply(String source, List<ReplicaPage> pages, Reply reply) {
        Optional<ReplicaPage> page = reply.ok() ? ReplicationCodec.decodePage(reply.body()) : Optional.empty();
        if (page.isPresent()
                && page.get().complete()
                && inSync.covers(source, page.get().term())) {
            onPage(source, pages, page.get());
        } else if (page.isPresent() || reply.status() == NOT_FOUND) {
            // Its replica is missing or out of date; a controller of an earlier version does not know the path.
            withoutReplica.add(source);
            finishIfNobodyHasReplica();
        } else {
            eventLoop.after(timing.retryMs(), () -> readFrom(source));
        }
    }

    private void onPage(String source, List<ReplicaPage> pages, ReplicaPage page) {
        boolean changed = !pages.isEmpty()
                && (pages.get(0).term() != page.term() || pages.get(0).version() != page.version());
        if (changed) {
            readFrom(source);
            return;
        }
        pages.add(page);
        if (page.more()) {
            String last = page.machines().get(page.machines().size() - 1).machine();
            readPage(source, pages, last);
            return;
        }
        List<MachineStarts> machines =
                pages.stream().flatMap(read -> read.machines().stream()).toList();
        finish(new FormerStarts.Known(source, new StartReplica(page.term(), page.version(), machines)));
    }
}
