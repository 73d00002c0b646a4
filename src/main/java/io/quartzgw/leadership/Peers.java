package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.cancellation.Cancellations;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.loop.Kernel;
import io.quartzgw.store.StoreClient;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * What controllers tell each other, in CBOR: who runs as which process, who leads with which term, whether the state
 * service answers, and the leader's counts for display.
 */
public final class Peers {
    public static final String PATH = "/peer";
    private static final int FORGET_HEARTBEATS = 4;
    /** How many jobs a message may name: at 48 bytes each for the longest names, it stays below 64 KiB. */
    private static final int MOST_JOBS = 1_200;

    private final Kernel kernel;
    private final Leadership leadership;
    private final StoreClient store;
    private final LeadershipTimes times;
    private final String member;
    private final long process;
    private final Map<String, Endpoint> others;
    private final Map<String, Known> known = new HashMap<>();
    private final Set<String> busy = new HashSet<>();
    private final RedirectedWorkers redirected;
    private final Cancellations cancellations;
    private final CancellationWatermark watermark;
    private final WriteShares shares;
    private long messages;
    private IntFunction<JsonNode> countsToTell = most -> null;
    private Consumer<JsonNode> countsTold = counts -> {};
    private Consumer<JsonNode> noticeTold = notice -> {};

    /** The last that a peer told. */
    private static final class Known {
        private long heardAt;
        /** The number of its process's newest message. */
        private long sequence;
        /** The number of its newest message that had counts. */
        private long countsSequence;

        private boolean storeReachable;
        private int workers;
        private long process;
        /** The highest term of others that the peer has seen, and so no longer answers below. */
        private long renouncedBelow;
    }

    /** @param others the peer listeners of the other controllers, by member */
    public Peers(
            Kernel kernel,
            Leadership leadership,
            StoreClient store,
            LeadershipTimes times,
            String member,
            long process,
            Map<String, Endpoint> others,
            Cancellations cancellations,
            CancellationWatermark watermark,
            WriteShares shares) {
        this.kernel = kernel;
        this.leadership = leadership;
        this.store = store;
        this.times = times;
        this.member = member;
        this.process = process;
        this.others = new LinkedHashMap<>(others);
        this.cancellations = cancellations;
        this.watermark = watermark;
        this.shares = shares;
        this.redirected = new RedirectedWorkers(kernel, times.heartbeatMs());
    }

    /**
     * @param toTell a page of the leader's counts, of so many jobs at the most, or null when this node has none
     * @param told receives each page of the leader's counts, this node's own as well
     * @param notice receives a peer's notice about a job
     */
    public void start(IntFunction<JsonNode> toTell, Consumer<JsonNode> told, Consumer<JsonNode> notice) {
        this.countsToTell = toTell;
        this.countsTold = told;
        this.noticeTold = notice;
        beat();
        kernel.every(times.heartbeatMs(), () -> {
            redirected.probe();
            beat();
        });
    }

    /** Tells every peer at once, for example that this node has been elected. */
    public void beat() {
        shares.beat();
        ObjectNode message = state();
        JsonNode counts = countsToTell.apply(Math.max(1, MOST_JOBS - Cancellations.named(message)));
        if (counts != null) {
            countsTold.accept(counts);
            message.set("counts", counts);
        }
        others.forEach((name, endpoint) -> tell(name, endpoint, message));
    }

    /** Hands a notice about a job to the leader, if another node leads. */
    public void notifyLeader(ObjectNode notice) {
        toLeader(state().set("notice", notice));
    }

    /** Tells the leader at once, if another node leads, what every message says: which jobs are cancelled. */
    public void tellLeader() {
        toLeader(state());
    }

    private void toLeader(ObjectNode message) {
        String leader = leadership.leaderMember();
        Endpoint endpoint = leader == null ? null : others.get(leader);
        if (endpoint != null) {
            kernel.call(Call.postCbor(endpoint, PATH, message, times.heartbeatMs()), reply -> {});
        }
    }

    /** Whether every other controller has said that it answers workers with no term below this one. */
    public boolean allSteppedDownBelow(long term) {
        return others.keySet().stream()
                .allMatch(name -> known.containsKey(name) && known.get(name).renouncedBelow >= term);
    }

    /** Notes that a worker reported to this node while another one leads, or none. */
    public void redirected(String machine, Endpoint address) {
        redirected.add(machine, address);
    }

    /** How many workers some other controller, heard of lately, has turned away lately and reaches. */
    public int workersAtOthers() {
        return known.values().stream()
                .filter(this::lately)
                .mapToInt(peer -> peer.workers)
                .max()
                .orElse(0);
    }

    private boolean lately(Known peer) {
        return kernel.now() - peer.heardAt <= FORGET_HEARTBEATS * times.heartbeatMs();
    }

    /** Whether some other controller, heard of lately, reaches the state service. */
    public boolean anotherReachesStore() {
        return known.values().stream().anyMatch(peer -> peer.storeReachable && lately(peer));
    }

    /** Serves a peer's message. */
    public void serve(Request request) {
        JsonNode message = Json.readCborOrNull(request.body());
        if (message == null || !others.containsKey(message.path("member").asText())) {
            kernel.answer(request.exchange(), Response.error(400, "not a peer's message"));
            return;
        }
        // A message may be a late copy, from a process that is gone: it does not show who runs now. The peer's
        // answer to this node's next message does.
        String name = message.path("member").asText();
        Known peer = known.get(name);
        boolean present =
                peer != null && peer.process == message.path("process").asLong();
        if (present) {
            heard(peer, message);
            takeCounts(peer, message);
        }
        if (!present) {
            tell(name, others.get(name), state());
        }
        takeForGood(message);
        if (message.has("notice")) {
            noticeTold.accept(message.get("notice"));
        }
        ObjectNode answer = state();
        shares.answer(name, message, answer);
        kernel.answer(request.exchange(), Response.cbor(answer));
    }

    private void tell(String name, Endpoint endpoint, ObjectNode message) {
        // One message at a time to each: a cut must not pile up calls.
        if (busy.add(name)) {
            long sent = kernel.now();
            LeaderRecord recordAtCall = leadership.record();
            kernel.call(Call.postCbor(endpoint, PATH, message, 2 * times.heartbeatMs()), reply -> {
                busy.remove(name);
                if (reply.ok()) {
                    answered(name, reply.cbor(), sent, recordAtCall);
                }
            });
        }
    }

    private ObjectNode state() {
        ObjectNode state = Json.object();
        cancellations.tell(state);
        shares.ask(state);
        return state.put("member", member)
                .put("sequence", ++messages)
                .put("workers", redirected.count())
                .put("process", process)
                .put("up_ms", watermark.upMs())
                .put("leading", leadership.leading() ? leadership.term() : 0)
                .put("term", leadership.highestTerm())
                .put("store", store.reachable() && store.answeredWithin(FORGET_HEARTBEATS * times.heartbeatMs()));
    }

    // An answer was made after the message that it answers was sent, so it tells who runs.
    private void answered(String name, JsonNode answer, long sent, LeaderRecord recordAtCall) {
        long itsProcess = answer.path("process").asLong();
        Known peer = known.computeIfAbsent(name, key -> new Known());
        if (peer.process != itsProcess) {
            peer.process = itsProcess;
            peer.sequence = 0;
            peer.countsSequence = 0;
        }
        heard(peer, answer);
        shares.take(answer, sent);
        boolean whole = takeForGood(answer);
        watermark.answered(name, itsProcess, answer.path("up_ms").asLong(), sent, whole);
        leadership.memberRuns(name, itsProcess, recordAtCall);
    }

    // Answers have no counts: one that overtakes the leader's message on its way must not make it look old, or
    // two controllers that beat in step would never hear of the counts.
    private void takeCounts(Known peer, JsonNode message) {
        if (message.has("counts") && message.path("sequence").asLong() > peer.countsSequence) {
            peer.countsSequence = message.path("sequence").asLong();
            countsTold.accept(message.get("counts"));
        }
    }

    /** Takes what a message says of the present, unless a newer one has said it. */
    private void heard(Known peer, JsonNode message) {
        if (message.path("sequence").asLong() <= peer.sequence) {
            return;
        }
        peer.sequence = message.path("sequence").asLong();
        peer.heardAt = kernel.now();
        peer.workers = message.path("workers").asInt();
        peer.storeReachable = message.path("store").asBoolean();
        peer.renouncedBelow = Math.max(peer.renouncedBelow, message.path("term").asLong());
    }

    /**
     * Takes what stays true, however late it comes: cancellations, and that a term was reached. Says whether all
     * cancellations were named.
     */
    private boolean takeForGood(JsonNode message) {
        boolean whole = cancellations.take(message);
        leadership.sawTerm(message.path("term").asLong());
        return whole;
    }
}
