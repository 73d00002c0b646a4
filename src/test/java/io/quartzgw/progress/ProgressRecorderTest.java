package io.quartzgw.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.simulation.LossyLink;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.ListResult;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.TerminalState;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the recording of progress while requests to the state service are lost or delayed. */
class ProgressRecorderTest {
    private static final int TASKS = 200;
    private static final long HEARTBEAT_MS = 2_500;

    private final EventLoop eventLoop = new EventLoop(1);
    private final SplittableRandom random = new SplittableRandom(9);
    private final LossyLink link = new LossyLink(eventLoop, new SimulatedStore(), random);
    private final StoreClient store =
            new StoreClient(eventLoop, new Endpoint("10.2.0.1", 1), new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = Elections.candidate(eventLoop, store);

    private ProgressRecorder newRecorder() {
        return new ProgressRecorder(
                eventLoop, store, new LeaderTerm(leadership), HEARTBEAT_MS, new ProgressRecorder.Listener() {
                    @Override
                    public void startLimitRaised(Job job) {}

                    @Override
                    public void completedTasksRecorded(Job job) {}

                    @Override
                    public void jobCompleted(Job job, TerminalState terminalState) {}

                    @Override
                    public void jobNoLongerOpen(Job job) {}
                });
    }

    private static OpenJob openJob(int number) {
        return new OpenJob(
                JobSpecBuilder.named("j-" + number).tasks(TASKS).spot(true).build(), number, 0);
    }

    // Guards against a recorded start limit that is too low: after a failover, tasks at or above it are placed again
    // even if they are running. This happened when more starts were requested while a write of the limit was in flight.
    @Test
    void keepsRecordedProgressWhenWritesAreLostOrDelayed() {
        Elections.elect(leadership, ms -> link.advance(ms, false));
        ClusterState cluster = new ClusterState(eventLoop, 1);
        ProgressRecorder progress = newRecorder();
        for (int i = 0; i < 3; i++) {
            cluster.add(openJob(i));
        }
        for (int round = 0; round < 300; round++) {
            for (Job job : cluster.jobs()) {
                int index = Math.min(TASKS - 1, round / 2 + random.nextInt(20));
                if (index >= job.recordedStartLimit()) {
                    progress.requestStartLimitAbove(job, index);
                    progress.flush();
                    progress.requestStartLimitAbove(job, Math.max(job.recordedStartLimit(), index - 10));
                } else if (!job.isCompleted(index) && job.completedCount() < TASKS - 1) {
                    cluster.markCompleted(job, index);
                    progress.recordCompletedTask(job, index);
                }
            }
            progress.flush();
            link.advance(100, true);
            if (random.nextInt(4) == 0) {
                link.applyLostTransaction();
            }
            ClusterState successor = new ClusterState(eventLoop, 2);
            cluster.jobs().forEach(job -> successor.add(job.open()));
            ProgressRecorder successorProgress = newRecorder();
            store.listPrefix(
                    ProgressRecorder.PREFIX,
                    result -> successorProgress.load(
                            ((ListResult.Listed) result).listing().entries(), successor));
            link.advance(1, false);
            for (Job job : cluster.jobs()) {
                Job found = successor.findJob(job.id()).orElseThrow();
                assertTrue(
                        found.recordedStartLimit() >= job.recordedStartLimit(),
                        "round " + round + ": the successor loaded the start limit " + found.recordedStartLimit()
                                + ", recorded was " + job.recordedStartLimit());
                found.completedTasks().and(job.recordedCompleted());
                assertEquals(
                        job.recordedCompleted(),
                        found.completedTasks(),
                        "the successor loads every task that is recorded as completed");
            }
        }
        assertTrue(
                cluster.jobs().stream().allMatch(job -> job.recordedStartLimit() > TASKS / 2),
                "start limits are raised");
        assertTrue(
                cluster.jobs().stream().allMatch(job -> job.recordedCompleted().cardinality() > 10),
                "completed tasks are recorded");
    }

    // Guards against tasks that run twice: without a readable start limit, any task of the job may have been started.
    @Test
    void unreadableStartLimitMeansThatAnyTaskMayHaveBeenStarted() {
        Elections.elect(leadership, ms -> link.advance(ms, false));
        ClusterState cluster = new ClusterState(eventLoop, 1);
        for (int i = 0; i < 3; i++) {
            cluster.add(openJob(i));
        }
        ObjectNode page = Json.object().put("j-0/started", 7).put("j-1/started", "7");
        page.putArray("j-2/started").add(7).add(0);
        newRecorder().load(List.of(new KeyValue("prog/0", page, 1)), cluster);
        assertEquals(
                List.of(7, TASKS, TASKS),
                cluster.jobs().stream().map(Job::recordedStartLimit).toList());
    }
}
