package io.quartzgw.replication;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.leadership.ControllerIdentity;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A leader with a state service, and two followers that run their real side of the replication. */
final class ReplicationFixture {
    static final String LEADER = "rig-0";
    static final String ONE = "rig-1";
    static final String OTHER = "rig-2";
    static final long HEARTBEAT_MS = 1_000;
    private static final int STEP_MS = 10;
    private static final Endpoint STATE = new Endpoint("10.2.0.1", 1);

    final EventLoop eventLoop = new EventLoop(1);
    final SimulatedStore stateService = new SimulatedStore();
    final StoreClient store = new StoreClient(eventLoop, STATE, new StoreLimits(100_000, 100_000, 8192, 16));
    final Leadership leadership = Elections.candidate(eventLoop, store);
    final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    final LeaderTerm term;
    /** Updates and read requests that have reached a follower. */
    final List<Call> delivered = new ArrayList<>();

    private final Map<String, FollowerProcess> followers = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private Runnable afterStoreCall = () -> {};
    private long now;
    private long processes;

    /** One process of a follower. */
    private static final class FollowerProcess {
        private final EventLoop eventLoop = new EventLoop(2);
        private final Leadership leadership;
        private final ReplicaHolder holder;

        FollowerProcess(String member, long process) {
            StoreClient store = new StoreClient(eventLoop, STATE, new StoreLimits(1, 1, 8192, 16));
            leadership = Elections.candidate(eventLoop, store);
            holder = new ReplicaHolder(
                    eventLoop, leadership, new ControllerIdentity(member, process), Set.of(LEADER, ONE, OTHER));
            eventLoop.onRequest(request -> {
                if (request.path().equals(ReplicaHolder.UPDATE_PATH)) {
                    holder.serveUpdate(request);
                } else {
                    holder.serveRead(request);
                }
            });
        }
    }

    ReplicationFixture() {
        endpoints.put(ONE, new Endpoint("10.0.0.2", 1));
        endpoints.put(OTHER, new Endpoint("10.0.0.3", 1));
        endpoints.keySet().forEach(this::start);
        Elections.elect(leadership, this::pass);
        term = new LeaderTerm(leadership);
    }

    /** Starts a new process of a follower, which holds nothing. */
    void start(String member) {
        followers.put(member, new FollowerProcess(member, ++processes));
    }

    /** Ends a follower's process: calls to it are lost. */
    void end(String member) {
        followers.remove(member);
    }

    /** Sets whether calls to a follower are lost while its process goes on. */
    void setUnreachable(String member, boolean on) {
        if (on) {
            unreachable.add(member);
        } else {
            unreachable.remove(member);
        }
    }

    /** Sets what is run after every call to the state service. */
    void afterStoreCall(Runnable action) {
        afterStoreCall = action;
    }

    ReplicaHolder holder(String member) {
        return followers.get(member).holder;
    }

    /** Lets a follower observe a term. */
    void observeTerm(String member, long observed) {
        followers.get(member).leadership.observeTerm(observed);
    }

    StartReplicator replicator() {
        StartReplicator replicator = new StartReplicator(eventLoop, term, LEADER, endpoints, HEARTBEAT_MS);
        eventLoop.onBatchEnd(replicator::flush);
        return replicator;
    }

    /** The stored record of the controllers in sync. */
    InSyncRecord record() {
        return Optional.ofNullable(stateService.value(StoredInSyncRecord.KEY))
                .map(InSyncRecordCodec::decode)
                .orElse(InSyncRecord.NONE);
    }

    /** Lets time pass; messages arrive at once. */
    void pass(long ms) {
        for (long end = now + ms; now < end; ) {
            now += Math.min(STEP_MS, end - now);
            stateService.advanceTo(now);
            deliver(eventLoop.processBatch(List.of(), time()));
        }
    }

    /** Runs an action as part of a batch, and delivers what it sends. */
    void run(Runnable action) {
        eventLoop.afterCommands(action);
        deliver(eventLoop.processBatch(List.of(), time()));
    }

    private ClockReading time() {
        return new ClockReading(now, now);
    }

    private void deliver(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<Command> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                if (send.request().endpoint().equals(STATE)) {
                    stateService.handle(
                            send.request(), now, reply -> replies.add(new Command.CallEnded(send.call(), reply)));
                    afterStoreCall.run();
                } else {
                    replies.add(new Command.CallEnded(send.call(), callFollower(send.request())));
                }
            }
            effects = replies.isEmpty() ? List.of() : eventLoop.processBatch(replies, time());
        }
    }

    private Reply callFollower(Call call) {
        String member = endpoints.entrySet().stream()
                .filter(entry -> entry.getValue().equals(call.endpoint()))
                .findFirst()
                .orElseThrow()
                .getKey();
        if (!followers.containsKey(member) || unreachable.contains(member)) {
            return Reply.lost();
        }
        delivered.add(call);
        return request(member, call.path(), call.body());
    }

    /** Delivers a request to a follower, and returns its answer. */
    Reply request(String member, String path, byte[] body) {
        Request request = new Request(1, ListenerKind.PEER, "POST", path, "", body);
        Effect.Answer answer = (Effect.Answer) followers
                .get(member)
                .eventLoop
                .processBatch(List.of(new Command.Arrived(request)), time())
                .get(0);
        return new Reply(answer.response().status(), answer.response().body());
    }
}
