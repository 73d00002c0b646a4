package io.quartzgw.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.agent.Heartbeat;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.LeadershipTiming;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.leadership.WriteBudgetExchange;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.Admission;
import io.quartzgw.submission.JobCounts;
import io.quartzgw.submission.JobStore;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.SubmissionHandler;
import java.util.function.Supplier;

/** The deterministic core of one controller: all slices, wired around one kernel. */
public final class Controller {
    private static final String READY = "/ready";
    private static final String HEARTBEAT = "/hello";
    private static final String METRICS = "/metrics";

    private final EventLoop kernel;
    private final Settings settings;
    private final StoreClient store;
    private final CloudClient cloud;
    private final LeadershipTiming times;
    private final CancellationRegistry cancellations;
    private final CancellationWatermark watermark;
    private final Leadership leadership;
    private final PeerExchange peers;
    private final MachineCatalog catalog;
    private final JobStore jobs;
    private final SubmissionHandler submissions;
    private final Supplier<JsonNode> metrics;
    private LeaderRuntime leader;

    /**
     * @param process names this process, unlike any other of the member
     * @param metrics what the peer listener shows under {@code /metrics}
     */
    public Controller(EventLoop kernel, Settings settings, long process, Supplier<JsonNode> metrics) {
        this.kernel = kernel;
        this.settings = settings;
        this.metrics = metrics;
        this.store =
                new StoreClient(kernel, settings.state(), settings.storeLimits().perNode(settings.size()));
        this.cloud = new CloudClient(kernel, settings.cloud(), settings.cloudLimits());
        this.times = LeadershipTiming.of(
                settings.agentTiming().heartbeatMs() / 1000.0,
                settings.agentTiming().leaseMs() / 1000.0,
                settings.cancelS());
        long cancelMs = settings.agentTiming().cancelMs();
        this.cancellations = new CancellationRegistry(kernel, cancelMs);
        this.watermark =
                new CancellationWatermark(kernel, cancelMs, settings.peers().keySet());
        this.leadership = new Leadership(kernel, store, times, settings.member(), process, watermark);
        this.peers = new PeerExchange(
                kernel,
                leadership,
                store,
                times,
                settings.member(),
                process,
                settings.peers(),
                cancellations,
                watermark,
                new WriteBudgetExchange(
                        kernel, leadership, store, settings.storeLimits(), times, settings.member(), settings.size()));
        this.catalog = new MachineCatalog(kernel, store, cloud, leadership::leading);
        this.jobs = new JobStore(store);
        this.submissions =
                new SubmissionHandler(kernel, store, jobs, catalog, new Admission(settings.teams()), new JobNews());
    }

    /** Starts all slices; to be called inside the first batch. */
    public void start() {
        kernel.onRequest(this::route);
        kernel.onBatchEnd(() -> {
            if (leader != null) {
                leader.afterBatch();
            }
        });
        cancellations.listener(job -> {
            if (leader != null) {
                leader.jobCancelled(job);
            }
        });
        catalog.start();
        leadership.start(new Elections());
        peers.start(
                most -> leader == null ? null : leader.nextCountPage(most).toJson(),
                told -> submissions.taskCounts(JobCounts.fromJson(told)),
                this::applyNotice);
    }

    public boolean isLeading() {
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
        } else if (path.equals(SubmissionHandler.PATH) || path.startsWith(SubmissionHandler.PATH + "/")) {
            submissions.serve(request);
        } else if (path.equals(HEARTBEAT)) {
            requireMethod("POST", request, () -> serveHeartbeat(request));
        } else if (path.equals(READY)) {
            requireMethod("GET", request, () -> ready(request));
        } else {
            kernel.answer(request.exchange(), Response.error(404, "no such path"));
        }
    }

    private void servePeer(Request request) {
        if (request.path().equals(PeerExchange.PATH)) {
            requireMethod("POST", request, () -> peers.serve(request));
        } else if (request.path().equals(METRICS)) {
            requireMethod(
                    "GET", request, () -> kernel.answer(request.exchange(), Response.json(200, metricsSnapshot())));
        } else {
            kernel.answer(request.exchange(), Response.error(404, "no such path"));
        }
    }

    private JsonNode metricsSnapshot() {
        ObjectNode counts = Json.object().put("failures", kernel.failures());
        kernel.counters().forEach(counts::put);
        ObjectNode all = Json.object();
        all.set("process", metrics.get());
        return all.set("counts", counts);
    }

    private void requireMethod(String method, Request request, Runnable serve) {
        if (request.method().equals(method)) {
            serve.run();
        } else {
            kernel.answer(request.exchange(), Response.error(405, "method not allowed"));
        }
    }

    private void serveHeartbeat(Request request) {
        Heartbeat report = Heartbeat.read(request.body());
        if (report == null) {
            kernel.answer(request.exchange(), Response.error(400, "not a report"));
            return;
        }
        leadership.observeTerm(report.fencingToken());
        if (leader != null && leadership.mayRenewAgentLeases()) {
            kernel.answer(request.exchange(), Response.json(200, leader.handleHeartbeat(report)));
            return;
        }
        peers.redirectedAgents(report.machine(), report.address());
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
        boolean able = leadership.hasReadStore()
                && catalog.isKnown()
                && (!store.failingLongerThan(times.leaseMs()) || !peers.anotherPeerReachesStore());
        kernel.answer(
                request.exchange(),
                able ? Response.json(200, Json.object().put("ready", true)) : Response.unavailable("not ready", 1));
    }

    // ---- leadership

    private ControllerServices services() {
        return new ControllerServices(
                kernel, settings, leadership, peers, store, jobs, cancellations, watermark, catalog, cloud);
    }

    private final class Elections implements Leadership.Listener {
        @Override
        public void elected(long term, long termRevision) {
            // A former leader answers for its grace from the last moment up to which it knew of all
            // cancellations; this node, for one, has told it of none since it was elected.
            long formerAnswersUntil = kernel.nowMs() + times.graceMs();
            leader = new LeaderRuntime(services(), formerAnswersUntil);
            leader.start();
            peers.broadcast();
        }

        @Override
        public void leadershipLost() {
            leader = null;
        }
    }

    // ---- peers

    private void applyNotice(JsonNode notice) {
        if (leader != null && notice.has("accepted")) {
            leader.jobAccepted(OpenJob.fromRecord(
                    notice.path("accepted"), notice.path("revision").asLong()));
        }
    }

    private final class JobNews implements SubmissionHandler.Listener {
        @Override
        public void accepted(OpenJob job) {
            if (leader != null) {
                leader.jobAccepted(job);
            } else {
                ObjectNode notice = Json.object().put("revision", job.revision());
                notice.set("accepted", OpenJob.record(job.spec(), job.acceptedAt()));
                peers.notifyLeader(notice);
            }
        }

        @Override
        public void cancelled(String id) {
            if (cancellations.record(id) && leader == null) {
                peers.sendToLeader();
            }
        }
    }
}
