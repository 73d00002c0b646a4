package io.quartzgw.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.cancellation.CancellationWatermark;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.http.Json;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.leadership.ControllerIdentity;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.LeadershipTiming;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.leadership.PeerPayloads;
import io.quartzgw.leadership.WriteBudgetExchange;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.Admission;
import io.quartzgw.submission.JobStore;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.SubmissionHandler;
import io.quartzgw.submission.TaskCountPageCodec;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Creates and connects the components of one controller, which all run on one event loop. Owns the components that
 * exist as long as the process; a {@link LeaderRuntime} owns those that exist for one term of leadership.
 */
public final class Controller {
    private static final int READINESS_RETRY_S = 1;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreClient store;
    private final CloudClient cloud;
    private final LeadershipTiming timing;
    private final CancellationRegistry cancellations;
    private final CancellationWatermark watermark;
    private final Leadership leadership;
    private final PeerExchange peers;
    private final MachineCatalog catalog;
    private final JobStore jobs;
    private final SubmissionHandler submissions;
    private final Supplier<JsonNode> processMetrics;
    private Optional<LeaderRuntime> leader = Optional.empty();

    /**
     * @param process number of this process, unique among all processes of this controller
     * @param processMetrics supplies the process section of the metrics that the peer listener serves
     */
    public Controller(EventLoop eventLoop, Settings settings, long process, Supplier<JsonNode> processMetrics) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.processMetrics = processMetrics;
        this.store = new StoreClient(
                eventLoop, settings.state(), settings.storeLimits().perController(settings.controllerCount()));
        this.cloud = new CloudClient(eventLoop, settings.cloud(), settings.cloudLimits());
        this.timing = LeadershipTiming.of(
                settings.agentTiming().heartbeatMs() / 1000.0,
                settings.agentTiming().leaseMs() / 1000.0,
                settings.cancelLimitS());
        long cancelMs = settings.agentTiming().cancelLimitMs();
        this.cancellations = new CancellationRegistry(eventLoop, cancelMs);
        this.watermark =
                new CancellationWatermark(eventLoop, cancelMs, settings.peers().keySet());
        ControllerIdentity identity = new ControllerIdentity(settings.member(), process);
        this.leadership = new Leadership(eventLoop, store, timing, identity, watermark);
        this.peers = new PeerExchange(eventLoop, timing, identity, settings.peers(), peerParticipants(settings));
        this.catalog = new MachineCatalog(eventLoop, store, cloud, leadership::isLeading);
        this.jobs = new JobStore(store);
        this.submissions = new SubmissionHandler(
                eventLoop, store, jobs, catalog, new Admission(settings.teams()), new SubmissionEvents());
    }

    private PeerExchange.Participants peerParticipants(Settings settings) {
        WriteBudgetExchange writeBudget = new WriteBudgetExchange(
                eventLoop,
                leadership,
                store,
                settings.storeLimits(),
                timing,
                settings.member(),
                settings.controllerCount());
        return new PeerExchange.Participants(leadership, store, cancellations, watermark, writeBudget);
    }

    /** Starts all components; must be called after the event loop's first batch, which sets the clock. */
    public void start() {
        RequestRouter router = new RequestRouter(eventLoop, requestHandlers());
        eventLoop.onRequest(router::route);
        eventLoop.onBatchBegin(new PauseDetector(eventLoop, leadership, timing.leaseMs())::onBatchBegin);
        eventLoop.onBatchEnd(() -> leader.ifPresent(LeaderRuntime::afterBatch));
        cancellations.setListener(job -> leader.ifPresent(runtime -> runtime.jobCancelled(job)));
        catalog.start();
        leadership.start(new LeadershipChanges());
        peers.start(new PeerPayloads(this::nextTaskCountPage, this::applyTaskCountPage, this::applyNotice));
    }

    public boolean isLeading() {
        return leadership.isLeading();
    }

    public long term() {
        return leadership.term();
    }

    /** Whether this controller has recorded that a job is cancelled. It must not start any of the job's tasks then. */
    public boolean isKnownCancelled(String job) {
        return cancellations.contains(job);
    }

    // ---- requests

    private RequestRouter.Handlers requestHandlers() {
        HeartbeatEndpoint heartbeats =
                new HeartbeatEndpoint(eventLoop, leadership, peers, settings.member(), () -> leader);
        return new RequestRouter.Handlers(
                submissions::serve,
                heartbeats::serve,
                this::serveReadiness,
                new RequestRouter.PeerHandlers(peers::serve, this::serveMetrics));
    }

    // A controller is not ready while its requests to the state service keep failing, because it can't serve
    // users then. A controller that has sent no request for a while stays ready. If no other controller reaches the
    // state service either, it also stays ready: removing all controllers from the load balancer would only reset
    // users' connections.
    private void serveReadiness(Request request) {
        boolean ready = leadership.hasReadElectionState()
                && catalog.isKnown()
                && (!store.failingLongerThan(timing.leaseMs()) || !peers.anyPeerReachesStore());
        eventLoop.answer(
                request.exchange(),
                ready
                        ? Response.json(200, Json.object().put("ready", true))
                        : Response.unavailable("not ready", READINESS_RETRY_S));
    }

    private void serveMetrics(Request request) {
        ObjectNode counters = Json.object().put("failures", eventLoop.failedEvents());
        eventLoop.counters().forEach(counters::put);
        ObjectNode snapshot = Json.object();
        snapshot.set("process", processMetrics.get());
        snapshot.set("counts", counters);
        eventLoop.answer(request.exchange(), Response.json(200, snapshot));
    }

    // ---- leadership

    private ControllerServices services() {
        return new ControllerServices(
                eventLoop, settings, leadership, timing, peers, store, jobs, cancellations, watermark, catalog, cloud);
    }

    private final class LeadershipChanges implements Leadership.Listener {
        @Override
        public void elected(long term, long termRevision) {
            // A previous leader stops responding to agents one grace period after the time up to which it knows every
            // cancellation. This controller has sent it none since the election, so that time is not after now.
            long previousLeaderActiveUntilMs = eventLoop.nowMs() + timing.graceMs();
            LeaderRuntime runtime = new LeaderRuntime(services(), previousLeaderActiveUntilMs);
            leader = Optional.of(runtime);
            runtime.start();
            peers.broadcast();
        }

        @Override
        public void leadershipLost() {
            leader = Optional.empty();
        }
    }

    // ---- jobs

    private Optional<JsonNode> nextTaskCountPage(int maxJobs) {
        return leader.map(runtime -> TaskCountPageCodec.encode(runtime.nextTaskCountPage(maxJobs)));
    }

    private void applyTaskCountPage(JsonNode page) {
        submissions.updateTaskCounts(TaskCountPageCodec.decode(page));
    }

    private void applyNotice(JsonNode notice) {
        leader.ifPresent(runtime -> AcceptedJobNotice.decode(notice).ifPresent(runtime::jobAccepted));
    }

    private final class SubmissionEvents implements SubmissionHandler.Listener {
        @Override
        public void accepted(OpenJob job) {
            leader.ifPresentOrElse(
                    runtime -> runtime.jobAccepted(job), () -> peers.notifyLeader(AcceptedJobNotice.encode(job)));
        }

        @Override
        public void cancelled(String id) {
            if (cancellations.record(id) && leader.isEmpty()) {
                peers.sendCancellationsToLeader();
            }
        }
    }
}
