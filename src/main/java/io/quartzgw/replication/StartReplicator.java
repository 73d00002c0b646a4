package io.quartzgw.replication;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.model.Attempt;
import io.quartzgw.store.StoreClient;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicates a leader's starts to the other controllers during one term.
 *
 * <p>A start counts as replicated when each of them that is in sync ({@link InSyncSet}) has acknowledged it, so it is
 * known as long as one of those processes lives. Until then it leaves in responses to heartbeats only, which are never
 * executed late. A controller without others has nobody to tell: there every start counts as replicated.
 */
public final class StartReplicator {
    private static final Logger LOG = LoggerFactory.getLogger(StartReplicator.class);

    private final EventLoop eventLoop;
    private final LeaderTerm term;
    private final String member;
    private final long heartbeatMs;
    private final Map<String, Follower> followers = new LinkedHashMap<>();
    private final StartLog log = new StartLog();
    private Consumer<String> onReplicated = machine -> {};
    /** Present once the starts of former leaders are in the log. */
    private Optional<InSyncSet> inSync = Optional.empty();
    /** The version that all followers in sync have. */
    private long replicatedVersion;
    /** The highest value that {@link #replicatedVersion} has had: no start above it can have left. */
    private long highestReplicatedVersion;

    /**
     * Creates the replicator of the current term.
     *
     * @param member this controller
     * @param endpoints the peer listeners of the other controllers, by member
     * @param heartbeatMs the interval of messages between controllers
     */
    public StartReplicator(
            EventLoop eventLoop, LeaderTerm term, String member, Map<String, Endpoint> endpoints, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.member = member;
        this.heartbeatMs = heartbeatMs;
        endpoints.forEach((name, endpoint) -> followers.put(name, new Follower(name, endpoint)));
    }

    /** Creates the replicator of a controller without others. */
    public static StartReplicator withoutFollowers(EventLoop eventLoop, LeaderTerm term) {
        return new StartReplicator(eventLoop, term, "", Map.of(), 0);
    }

    /** Sets who is told of each machine some of whose starts have been replicated. */
    public void onReplicated(Consumer<String> listener) {
        this.onReplicated = listener;
    }

    /** Sets all starts that direct calls may carry to a machine from now on, or may still carry. */
    public void announce(String machine, Set<Attempt> starts) {
        if (!followers.isEmpty()) {
            log.put(machine, starts, eventLoop.nowMs());
        }
    }

    /** Returns whether every other controller in sync has acknowledged a start that was announced. */
    public boolean isReplicated(String machine, Attempt start) {
        return followers.isEmpty() || log.isIn(replicatedVersion, machine, start);
    }

    /**
     * Begins to send updates, since the log has the starts of former leaders now.
     *
     * @param recordRevision the revision of the stored record of the controllers in sync
     */
    public void begin(StoreClient store, long recordRevision) {
        inSync = Optional.of(new InSyncSet(
                eventLoop, store, term, member, followers.keySet(), recordRevision, this::updateReplicatedVersion));
        if (!followers.isEmpty()) {
            sendHeartbeats();
        }
    }

    /** Returns a replica of the log, or empty if that has not got the starts of former leaders. */
    public Optional<StartReplica> replica() {
        return inSync.map(unused -> new StartReplica(term.number(), log.version(), log.machines()));
    }

    /** Sends what the followers lack; called at the end of every batch. */
    public void flush() {
        if (inSync.isPresent() && term.isCurrent()) {
            followers.values().forEach(Follower::sendChanges);
            eventLoop.setGauge("replication.unacknowledged", log.countStartsAfter(replicatedVersion));
        }
    }

    // A follower whose process is new has to be found out before its replica is needed.
    private void sendHeartbeats() {
        if (term.isCurrent()) {
            followers.values().forEach(Follower::sendHeartbeat);
            eventLoop.after(heartbeatMs, this::sendHeartbeats);
        }
    }

    private void updateReplicatedVersion() {
        long lowest = inSync.orElseThrow().required().stream()
                .mapToLong(name -> followers.get(name).progress.caughtUpVersion())
                .min()
                .orElse(0);
        long before = replicatedVersion;
        replicatedVersion = lowest;
        countReplicated(log.additionsBetween(Math.max(before, highestReplicatedVersion), lowest));
        highestReplicatedVersion = Math.max(highestReplicatedVersion, lowest);
        log.machinesChangedBetween(before, lowest).forEach(onReplicated);
        log.trim(lowestVersion());
        eventLoop.setGauge(
                "replication.in_sync", inSync.orElseThrow().required().size());
    }

    private void countReplicated(List<StartLog.Addition> additions) {
        long waitedMs = additions.stream()
                .mapToLong(addition -> eventLoop.nowMs() - addition.atMs())
                .sum();
        eventLoop.increment("replication.starts", additions.size());
        eventLoop.increment("replication.wait_ms", waitedMs);
    }

    private long lowestVersion() {
        return followers.values().stream()
                .mapToLong(follower -> follower.progress.version())
                .min()
                .orElse(0);
    }

    /** One of the other controllers. */
    private final class Follower {
        private final String name;
        private final Endpoint endpoint;
        private final FollowerProgress progress = new FollowerProgress();
        private boolean updateInFlight;
        /** When its first update that failed was sent, unless the last one has succeeded. */
        private Optional<Long> failingSinceMs = Optional.empty();

        Follower(String name, Endpoint endpoint) {
            this.name = name;
            this.endpoint = endpoint;
        }

        // A follower that fails is tried again with the next heartbeat only.
        void sendChanges() {
            if (!updateInFlight && progress.version() < log.version() && failingSinceMs.isEmpty()) {
                send();
            }
        }

        void sendHeartbeat() {
            if (!updateInFlight) {
                send();
            }
        }

        private void send() {
            int maxStarts = progress.isProcessKnown() ? ReplicaHolder.MAX_STARTS_PER_MESSAGE : 0;
            StartLog.Changes changes = log.changesAfter(progress.version(), maxStarts);
            ReplicaUpdate update = new ReplicaUpdate(
                    member,
                    progress.process(),
                    term.number(),
                    progress.version(),
                    changes.toVersion(),
                    changes.complete(),
                    changes.machines());
            updateInFlight = true;
            eventLoop.increment("replication.updates", 1);
            long sentAtMs = eventLoop.nowMs();
            eventLoop.call(
                    Call.postCbor(endpoint, ReplicaHolder.UPDATE_PATH, ReplicationCodec.encode(update), heartbeatMs),
                    reply -> onReply(update, reply, sentAtMs));
        }

        private void onReply(ReplicaUpdate update, Reply reply, long sentAtMs) {
            updateInFlight = false;
            if (!term.isCurrent()) {
                return;
            }
            Optional<ReplicaStatus> status = reply.ok()
                    ? ReplicationCodec.decodeStatus(reply.body()).filter(answer -> answer.term() == term.number())
                    : Optional.empty();
            if (status.isPresent()) {
                progress.answered(update, status.get());
                logResumed();
                if (progress.caughtUpVersion() >= highestReplicatedVersion) {
                    inSync.orElseThrow().include(name);
                }
                updateReplicatedVersion();
            } else {
                logStalled(reply, sentAtMs);
                inSync.orElseThrow().exclude(name);
            }
        }

        private void logStalled(Reply reply, long sentAtMs) {
            if (failingSinceMs.isEmpty()) {
                failingSinceMs = Optional.of(sentAtMs);
                eventLoop.increment("replication.stalls", 1);
                LOG.atInfo()
                        .addKeyValue("member", name)
                        .addKeyValue("term", term.number())
                        .addKeyValue("status", reply.status())
                        .addKeyValue("unacknowledged", log.countStartsAfter(progress.caughtUpVersion()))
                        .log("replication stalled");
            }
        }

        private void logResumed() {
            failingSinceMs.ifPresent(since -> LOG.atInfo()
                    .addKeyValue("member", name)
                    .addKeyValue("term", term.number())
                    .addKeyValue("stalled_ms", eventLoop.nowMs() - since)
                    .log("replication resumed"));
            failingSinceMs = Optional.empty();
        }
    }
}
