package io.quartzgw.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.model.Attempt;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.scheduling.TaskLauncher;
import io.quartzgw.scheduling.UnplacedTasks;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against rentals that use up the cloud's request limit while the deletion of a fenced machine waits. Deletions
 * and rentals share that limit.
 */
class DeletionBudgetTest {
    private static final Endpoint STATE = new Endpoint("10.2.0.1", 1);
    private static final Endpoint CLOUD = new Endpoint("10.2.0.2", 1);
    private static final long RESERVATION_MS = 17_000;
    private static final long CANCEL_LIMIT_MS = 36_000;
    private static final long SCALE_INTERVAL_MS = 250;
    private static final long RENTAL_WARM_UP_MS = 5_000;
    private static final int CLOUD_REQUESTS_PER_S = 4;
    private static final String FENCED_ID = "i-0001";
    private static final int TASKS = 100_000;
    private static final MachineType TYPE =
            new MachineType("t", new Resources(16, 0, 64), 40, 1, 1, 0.3, 20, List.of("a"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final SimulatedStore stateService = new SimulatedStore();
    private final StoreClient store = new StoreClient(eventLoop, STATE, new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = Elections.candidate(eventLoop, store);
    private boolean deletionSent;
    private long rented;
    private long now;

    private static final class OneType implements MachineTypes {
        @Override
        public boolean isKnown() {
            return true;
        }

        @Override
        public Collection<MachineType> all() {
            return List.of(TYPE);
        }

        @Override
        public Optional<MachineType> find(String name) {
            return Optional.of(TYPE);
        }
    }

    private static final class IgnoringLauncher implements TaskLauncher {
        @Override
        public void start(Allocation allocation) {}

        @Override
        public void stop(Allocation allocation, double graceS, StopReason reason) {}
    }

    private static final class IgnoringListener implements FleetManager.Listener {
        @Override
        public void machineFailed(Machine machine) {}

        @Override
        public void machineRemoved(Machine machine) {}
    }

    private void advance(long ms) {
        now += ms;
        deliver(eventLoop.processBatch(List.of(), new ClockReading(now, now)));
    }

    private void deliver(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<LoopEvent> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                if (send.request().path().startsWith("/rentals")) {
                    replies.add(new LoopEvent.CallEnded(
                            send.call(), cloudReply(send.request().path())));
                } else {
                    stateService.handle(
                            send.request(), now, reply -> replies.add(new LoopEvent.CallEnded(send.call(), reply)));
                }
            }
            effects = replies.isEmpty() ? List.of() : eventLoop.processBatch(replies, new ClockReading(now, now));
        }
    }

    private Reply cloudReply(String path) {
        var body = Json.object();
        if (path.equals("/rentals/delete")) {
            deletionSent = true;
        } else if (path.equals("/rentals")) {
            var hosts = body.putArray("hosts");
            for (int i = 0; i < CloudClient.MAX_MACHINES_PER_RENTAL; i++) {
                hosts.add("i-" + (1_000 + rented++));
            }
        } else {
            body.putArray("hosts")
                    .addObject()
                    .put("id", FENCED_ID)
                    .put("address", "10.1.0.2:9000")
                    .put("host_type", "t")
                    .put("yard", "a")
                    .put("loaner", false)
                    .put("phase", "running")
                    .put("held_s", 100.0);
            body.put("more", false);
        }
        return new Reply(200, Json.write(body));
    }

    // Guards against the invariant violation ran_cancelled: while thousands of machines are rented, no request of the
    // limit is left for the deletion of a machine that may start a cancelled task.
    @Test
    void deletesFencedMachineWhileRentalsUseRequestLimit() {
        Elections.elect(leadership, this::advance);
        LeaderTerm term = new LeaderTerm(leadership);
        ClusterState cluster = new ClusterState(eventLoop, 1);
        CloudClient cloud = new CloudClient(eventLoop, CLOUD, new CloudLimits(CLOUD_REQUESTS_PER_S, 5_000));
        FleetContext context = new FleetContext(
                eventLoop, cloud, term, cluster, new FleetManager.Policy(0, RESERVATION_MS, CANCEL_LIMIT_MS, 5_000));
        FleetManager fleet = new FleetManager(
                context,
                new OneType(),
                new MachineRecords(eventLoop, store, term, cluster, 0, machine -> {}),
                new Consolidation(cluster, machine -> true, new IgnoringLauncher(), RESERVATION_MS),
                new IgnoringListener());
        fleet.start();
        advance(1_000);
        Machine fenced = cluster.findMachine(FENCED_ID).orElseThrow();
        Job job = cluster.add(new OpenJob(
                JobSpecBuilder.named("j-1")
                        .team("team")
                        .tasks(TASKS)
                        .demand(16, 0, 8)
                        .build(),
                1,
                0));
        rentFor(RENTAL_WARM_UP_MS, fleet, job);
        fenced.fencing().addCancelledStart(new Attempt("j-3", 0, 1), now);
        rentFor(CANCEL_LIMIT_MS, fleet, job);
        assertTrue(cluster.contains(fenced) || deletionSent);
        assertTrue(deletionSent, "deletion is sent; machines rented meanwhile: " + rented);
    }

    private void rentFor(long durationMs, FleetManager fleet, Job job) {
        for (long end = now + durationMs; now < end && !deletionSent; ) {
            int unplaced = (int) Math.max(0, TASKS - rented);
            fleet.scale(List.of(new UnplacedTasks(job, unplaced)), true);
            advance(SCALE_INTERVAL_MS);
        }
    }
}
