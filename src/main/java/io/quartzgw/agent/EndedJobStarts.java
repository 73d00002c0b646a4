package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.scheduling.ClusterState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The inherited starts of jobs that have ended. The start of a cancelled job must never be executed, so its machine is
 * fenced; that of a job which is done is void. Which of the two it is has to be read, one job after the other.
 */
final class EndedJobStarts {
    private static final Logger LOG = LoggerFactory.getLogger(EndedJobStarts.class);
    /** When a job was cancelled is not known: this fraction of the time limit of a cancellation counts as over. */
    private static final double ELAPSED_CANCEL_FRACTION = 0.5;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final EndedJobs endedJobs;
    private final Consumer<InheritedStart> onVoid;
    private final long elapsedMs;
    private final Map<String, List<InheritedStart>> unresolvedByJob = new LinkedHashMap<>();
    private boolean lookingUp;

    /**
     * @param cancelMs the time limit of a cancellation
     * @param onVoid notified of each start that may be forgotten
     */
    EndedJobStarts(LeaderContext leader, EndedJobs endedJobs, long cancelMs, Consumer<InheritedStart> onVoid) {
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.endedJobs = endedJobs;
        this.onVoid = onVoid;
        this.elapsedMs = (long) (ELAPSED_CANCEL_FRACTION * cancelMs);
    }

    /** Adds a start of a job that is not open. */
    void add(InheritedStart start) {
        unresolvedByJob
                .computeIfAbsent(start.attempt().job(), job -> new ArrayList<>())
                .add(start);
        lookUpNext();
    }

    private void lookUpNext() {
        if (lookingUp || unresolvedByJob.isEmpty()) {
            return;
        }
        lookingUp = true;
        String job = unresolvedByJob.keySet().iterator().next();
        endedJobs.lookUp(job, isCancelled -> {
            lookingUp = false;
            resolve(unresolvedByJob.remove(job), isCancelled);
            lookUpNext();
        });
    }

    private void resolve(List<InheritedStart> starts, boolean isCancelled) {
        for (InheritedStart start : starts) {
            if (!cluster.contains(start.machine())) {
                continue;
            }
            if (isCancelled) {
                fence(start);
            } else {
                onVoid.accept(start);
            }
        }
    }

    private void fence(InheritedStart start) {
        eventLoop.increment("fencing.cancelled_inherited", 1);
        LOG.atInfo()
                .addKeyValue("task", start.attempt().task())
                .addKeyValue("attempt", start.attempt().number())
                .addKeyValue("machine", start.machine().id())
                .log("inherited start of a cancelled job");
        start.machine().fencing().addCancelledStart(start.attempt(), eventLoop.nowMs() - elapsedMs);
        cluster.markChanged();
    }
}
