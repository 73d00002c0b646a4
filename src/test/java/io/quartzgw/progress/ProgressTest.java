package io.quartzgw.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Endpoint;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.standin.Elections;
import io.quartzgw.standin.JobSpecs;
import io.quartzgw.standin.LossyLink;
import io.quartzgw.standin.StoreStandIn;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.submission.FinalPhase;
import io.quartzgw.submission.OpenJob;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ProgressTest {
    private static final int TASKS = 200;
    private static final long REPORT_MS = 2_500;

    private final Kernel kernel = new Kernel(1);
    private final SplittableRandom random = new SplittableRandom(9);
    private final LossyLink link = new LossyLink(kernel, new StoreStandIn(), random);
    private final StoreClient store =
            new StoreClient(kernel, new Endpoint("10.2.0.1", 1), new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = Elections.candidate(kernel, store);

    private Progress progress() {
        return new Progress(kernel, store, new LeaderTerm(leadership), REPORT_MS, new Progress.Listener() {
            @Override
            public void startable(Job job) {}

            @Override
            public void recorded(Job job) {}

            @Override
            public void ended(Job job, FinalPhase phase) {}

            @Override
            public void endedOtherwise(Job job) {}
        });
    }

    private static OpenJob job(int number) {
        return new OpenJob(JobSpecs.named("j-" + number).tasks(TASKS).spot(true).spec(), number, 0);
    }

    // Guards against a record that falls behind what was started: after a takeover those tasks would be placed
    // again while they run. It fell behind when more starts became due while the first were being recorded.
    @Test
    void whatMayBeStartedAndWhatIsDoneIsAlwaysInTheStateService() {
        Elections.elect(leadership, ms -> link.pass(ms, false));
        Cluster cluster = new Cluster(kernel, 1);
        Progress progress = progress();
        for (int i = 0; i < 3; i++) {
            cluster.add(job(i));
        }
        for (int round = 0; round < 300; round++) {
            for (Job job : cluster.jobs()) {
                int index = Math.min(TASKS - 1, round / 2 + random.nextInt(20));
                if (index >= job.startBelow()) {
                    progress.starting(job, index);
                    progress.flush();
                    progress.starting(job, Math.max(job.startBelow(), index - 10));
                } else if (!job.isDone(index) && job.doneCount() < TASKS - 1) {
                    cluster.markDone(job, index);
                    progress.finished(job, index);
                }
            }
            progress.flush();
            link.pass(100, true);
            if (random.nextInt(4) == 0) {
                link.applyOneLate();
            }
            Cluster successor = new Cluster(kernel, 2);
            cluster.jobs().forEach(job -> successor.add(job.open()));
            Progress read = progress();
            store.list(Packing.PREFIX, listing -> read.load(listing.entries(), successor));
            link.pass(1, false);
            for (Job job : cluster.jobs()) {
                Job found = successor.job(job.id());
                assertTrue(
                        found.startBelow() >= job.startBelow(),
                        "round " + round + ": " + found.startBelow() + " recorded of " + job.startBelow());
                found.done().and(job.recorded());
                assertEquals(job.recorded(), found.done(), "what workers may forget is recorded");
            }
        }
        assertTrue(cluster.jobs().stream().allMatch(job -> job.startBelow() > TASKS / 2), "starts went on");
        assertTrue(
                cluster.jobs().stream().allMatch(job -> job.recorded().cardinality() > 10), "finishes were recorded");
    }
}
