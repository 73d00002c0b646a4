package io.quartzgw.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.cancellation.Cancellations;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.LeadershipTimes;
import io.quartzgw.leadership.Peers;
import io.quartzgw.leadership.WriteShares;
import io.quartzgw.loop.Kernel;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.Admission;
import io.quartzgw.submission.JobCounts;
import io.quartzgw.submission.JobStore;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.Submissions;
import io.quartzgw.worker.Report;
import java.util.function.Supplier;

/** The deterministic core of one controller: all slices, wired around one kernel. */
public final class Node {
    private static final String READY = "/ready";
    private static final String HELLO = "/hello";
    private static final String METRICS = "/metrics";

    private final Kernel kernel;
    private final Settings settings;
    private final StoreClient store;
    private final CloudClient cloud;
    private final LeadershipTimes times;
    private final Cancellations cancellations;
    private final CancellationWatermark watermark;
    private final Leadership leadership;
    private final Peers peers;
    private final MachineTypes types;
    private final JobStore jobs;
    private final Submissions submissions;
    private final Supplier<JsonNode> metrics;
    private Leader leader;

    /**
     * @param process names this process, unlike any other of the member
     * @param metrics what the peer listener shows under {@code /metrics}
     */
    public Node(Kernel kernel, Settings settings, long process, Supplier<JsonNode> metrics) {
        this.kernel = kernel;
        this.settings = settings;
        this.metrics = metrics;
        this.store =
                new StoreClient(kernel, settings.state(), settings.storeLimits().share(settings.size()));
        this.cloud = new CloudClient(kernel, settings.cloud(), settings.cloudLimits());
        this.times = LeadershipTimes.of(
                settings.workers().reportMs() / 1000.0, settings.workers().leaseMs() / 1000.0, settings.cancelS());
        long cancelMs = settings.workers().cancelMs();
        this.cancellations = new Cancellations(kernel, cancelMs);
        this.watermark =
                new CancellationWatermark(kernel, cancelMs, settings.peers().keySet());
        this.leadership = new Leadership(kernel, store, times, settings.member(), process, watermark);
        this.peers = new Peers(
                kernel,
                leadership,
                store,
                times,
                settings.member(),
                process,
                settings.peers(),
                cancellations,
                watermark,
                new WriteShares(
                        kernel, leadership, store, settings.storeLimits(), times, settings.member(), settings.size()));
        this.types = new MachineTypes(kernel, store, cloud, leadership::leading);
        this.jobs = new JobStore(store);
        this.submissions = new Submissions(kernel, store, jobs, types, new Admission(settings.teams()), new JobNews());
    }

    /** Starts all slices; to be called inside the first batch. */
    public void start() {
        kernel.route(this::route);
        kernel.afterEachBatch(() -> {
            if (leader != null) {
                leader.afterBatch();
            }
        });
        cancellations.listener(job -> {
            if (leader != null) {
                leader.cancelled(job);
            }
        });
        types.start();
        leadership.start(new Elections());
        peers.start(
                most -> leader == null ? null : leader.counts(most).toJson(),
                told -> submissions.counts(JobCounts.fromJson(told)),
                this::takeNotice);
    }

    public boolean leading() {
        return leadership.leading();
    }

    public long term() {
        return leadership.term();
    }

    // ---- requests

    private void route(Request request) {
        String path = request.path();
        if (request.listener() == ListenerKind.PEER) {
            servePeer(request);
        } else if (path.equals(Submissions.PATH) || path.startsWith(Submissions.PATH + "/")) {
            submissions.serve(request);
        } else if (path.equals(HELLO)) {
            onlyFor("POST", request, () -> hello(request));
        } else if (path.equals(READY)) {
            onlyFor("GET", request, () -> ready(request));
        } else {
            kernel.answer(request.exchange(), Response.error(404, "no such path"));
        }
    }

    private void servePeer(Request request) {
        if (request.path().equals(Peers.PATH)) {
            onlyFor("POST", request, () -> peers.serve(request));
        } else if (request.path().equals(METRICS)) {
            onlyFor("GET", request, () -> kernel.answer(request.exchange(), Response.json(200, figures())));
        } else {
            kernel.answer(request.exchange(), Response.error(404, "no such path"));
        }
    }

    private JsonNode figures() {
        ObjectNode counts = Json.object().put("failures", kernel.failures());
        kernel.counts().forEach(counts::put);
        ObjectNode all = Json.object();
        all.set("process", metrics.get());
        return all.set("counts", counts);
    }

    private void onlyFor(String method, Request request, Runnable serve) {
        if (request.method().equals(method)) {
            serve.run();
        } else {
            kernel.answer(request.exchange(), Response.error(405, "method not allowed"));
        }
    }

    private void hello(Request request) {
        Report report = Report.read(request.body());
        if (report == null) {
            kernel.answer(request.exchange(), Response.error(400, "not a report"));
            return;
        }
        leadership.sawTerm(report.token());
        if (leader != null && leadership.answering()) {
            kernel.answer(request.exchange(), Response.json(200, leader.report(report)));
            return;
        }
        peers.redirected(report.machine(), report.address());
        String home = leadership.leaderMember();
        if (home == null || home.equals(settings.member())) {
            kernel.answer(request.exchange(), Response.unavailable("no leader", 1));
        } else {
            kernel.answer(request.exchange(), Response.json(421, Json.object().put("home_controller", home)));
        }
    }

    // A node that has not asked the state service for a while is no less able: only failures count.
    // True to what users get: without the state service nothing is accepted or told. But when no node
    // reaches it, leaving the balancer would only reset everybody's connections.
    private void ready(Request request) {
        boolean able = leadership.knowsStore()
                && types.known()
                && (!store.failingLongerThan(times.holdMs()) || !peers.anotherReachesStore());
        kernel.answer(
                request.exchange(),
                able ? Response.json(200, Json.object().put("ready", true)) : Response.unavailable("not ready", 1));
    }

    // ---- leadership

    private ControllerServices services() {
        return new ControllerServices(
                kernel, settings, leadership, peers, store, jobs, cancellations, watermark, types, cloud);
    }

    private final class Elections implements Leadership.Listener {
        @Override
        public void elected(long term, long termRevision) {
            // A former leader answers for its grace from the last moment up to which it knew of all
            // cancellations; this node, for one, has told it of none since it was elected.
            long formerAnswersUntil = kernel.now() + times.graceMs();
            leader = new Leader(services(), formerAnswersUntil);
            leader.start();
            peers.beat();
        }

        @Override
        public void deposed() {
            leader = null;
        }
    }

    // ---- peers

    private void takeNotice(JsonNode notice) {
        if (leader != null && notice.has("accepted")) {
            leader.accepted(OpenJob.fromRecord(
                    notice.path("accepted"), notice.path("revision").asLong()));
        }
    }

    private final class JobNews implements Submissions.Listener {
        @Override
        public void accepted(OpenJob job) {
            if (leader != null) {
                leader.accepted(job);
            } else {
                ObjectNode notice = Json.object().put("revision", job.revision());
                notice.set("accepted", OpenJob.record(job.spec(), job.acceptedAt()));
                peers.notifyLeader(notice);
            }
        }

        @Override
        public void cancelled(String id) {
            if (cancellations.note(id) && leader == null) {
                peers.tellLeader();
            }
        }
    }
}
