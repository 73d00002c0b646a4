package io.quartzgw.agent;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resolves the outstanding starts of jobs that have ended, whether sent by this leader or by a previous one. How a job
 * ended must be looked up. The start of a cancelled job must not be executed, so its machine is fenced. The start of a
 * completed job is dropped, since its execution would be harmless.
 */
final class EndedJobStarts {
    private static final Logger LOG = LoggerFactory.getLogger(EndedJobStarts.class);
    private static final int MAX_LOOK_UPS_IN_FLIGHT = 8;
    /** Stands for an unknown cancellation time; long ago, since the cancel limit may have passed. */
    private static final long UNKNOWN_TIME_MS = Long.MIN_VALUE / 2;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final EndedJobs endedJobs;
    private final Consumer<OutstandingStart> onDroppable;
    /** Outstanding starts by job ID, for jobs whose terminal state has not been looked up yet. */
    private final Map<String, Set<OutstandingStart>> unresolvedByJob = new HashMap<>();

    private final Deque<String> jobsToLookUp = new ArrayDeque<>();
    private int lookUpsInFlight;
    private boolean startingLookUps;

    /** @param onDroppable notified of each start that may be dropped */
    EndedJobStarts(
            LeaderContext leader, AgentRegistry registry, EndedJobs endedJobs, Consumer<OutstandingStart> onDroppable) {
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.endedJobs = endedJobs;
        this.onDroppable = onDroppable;
    }

    /** Finds the outstanding starts of ended jobs, and fences their machines or drops them after a look-up. */
    void update() {
        for (AgentState agent : registry.agents()) {
            for (Attempt start : agent.outstandingStarts().unanswered()) {
                if (isOfEndedJob(agent.machine(), start)) {
                    add(new OutstandingStart(agent.machine(), start));
                }
            }
        }
        startLookUps();
    }

    /**
     * Returns whether a start belongs to an ended job and has no allocation. An allocation already protects its start,
     * since it is retained until the machine is deleted ({@link AllocationRelease}).
     */
    private boolean isOfEndedJob(Machine machine, Attempt start) {
        Allocation allocation = machine.allocation(start.task());
        boolean allocated = allocation != null && allocation.attempt() == start.number();
        return !allocated
                && machine.fencing().find(start.task(), start.number()).isEmpty()
                && Attempts.openJob(start, cluster).isEmpty();
    }

    private void add(OutstandingStart start) {
        if (start.machine().fencing().isCancelledStart(start.attempt())) {
            return;
        }
        String job = start.attempt().job();
        if (!unresolvedByJob.containsKey(job)) {
            unresolvedByJob.put(job, new LinkedHashSet<>());
            jobsToLookUp.addLast(job);
        }
        unresolvedByJob.get(job).add(start);
    }

    private void startLookUps() {
        if (startingLookUps) {
            // Called from a look-up that completed immediately; the loop below continues with the next job.
            return;
        }
        startingLookUps = true;
        while (lookUpsInFlight < MAX_LOOK_UPS_IN_FLIGHT && !jobsToLookUp.isEmpty()) {
            String job = jobsToLookUp.pollFirst();
            lookUpsInFlight++;
            endedJobs.lookUp(job, outcome -> onLookedUp(job, outcome));
        }
        startingLookUps = false;
    }

    private void onLookedUp(String job, EndedJobs.Outcome outcome) {
        lookUpsInFlight--;
        unresolvedByJob.remove(job).stream()
                .filter(start -> cluster.contains(start.machine()))
                .forEach(start -> resolve(start, outcome));
        startLookUps();
    }

    private void resolve(OutstandingStart start, EndedJobs.Outcome outcome) {
        if (outcome instanceof EndedJobs.Outcome.Cancelled cancelled) {
            fence(start, cancelled.atMs().orElse(UNKNOWN_TIME_MS));
        } else {
            onDroppable.accept(start);
        }
    }

    private void fence(OutstandingStart start, long cancelledAtMs) {
        eventLoop.increment("fencing.cancelled_starts", 1);
        LOG.atInfo()
                .addKeyValue("task", start.attempt().task())
                .addKeyValue("attempt", start.attempt().number())
                .addKeyValue("machine", start.machine().id())
                .addKeyValue(
                        "former_leader",
                        cluster.isOfPreviousLeader(start.attempt().number()))
                .log("outstanding start of cancelled job found");
        start.machine().fencing().addCancelledStart(start.attempt(), cancelledAtMs);
        cluster.markChanged();
    }
}
