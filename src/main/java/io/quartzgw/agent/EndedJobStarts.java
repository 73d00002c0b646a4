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
 * The outstanding starts of jobs that have ended, of this leader and of former ones. The start of a cancelled job must
 * not be executed, so its machine is fenced; that of a job which is done is void. Which of the two it is has to be
 * looked up.
 */
final class EndedJobStarts {
    private static final Logger LOG = LoggerFactory.getLogger(EndedJobStarts.class);
    private static final int MAX_LOOK_UPS = 8;
    /** Stands for a cancellation whose time is not known: its limit may be over. */
    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final AgentRegistry registry;
    private final EndedJobs endedJobs;
    private final Consumer<OutstandingStart> onVoid;
    /** By job whose end is not known yet. */
    private final Map<String, Set<OutstandingStart>> unresolvedByJob = new HashMap<>();

    private final Deque<String> waitingJobs = new ArrayDeque<>();
    private int lookUps;
    private boolean beginningLookUps;

    /** @param onVoid notified of each start that may be forgotten */
    EndedJobStarts(
            LeaderContext leader, AgentRegistry registry, EndedJobs endedJobs, Consumer<OutstandingStart> onVoid) {
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.registry = registry;
        this.endedJobs = endedJobs;
        this.onVoid = onVoid;
    }

    /** Finds the starts whose jobs have ended since the last call, and has their machines fenced or forgets them. */
    void update() {
        for (AgentState agent : registry.agents()) {
            for (Attempt start : agent.outstandingStarts().unanswered()) {
                if (isOfEndedJob(agent.machine(), start)) {
                    add(new OutstandingStart(agent.machine(), start));
                }
            }
        }
        lookUp();
    }

    /** While an attempt has an allocation, that is retained until the machine is gone ({@link AllocationRelease}). */
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
            waitingJobs.addLast(job);
        }
        unresolvedByJob.get(job).add(start);
    }

    private void lookUp() {
        if (beginningLookUps) {
            // A look-up has been answered at once: the loop below goes on with the next one.
            return;
        }
        beginningLookUps = true;
        while (lookUps < MAX_LOOK_UPS && !waitingJobs.isEmpty()) {
            String job = waitingJobs.pollFirst();
            lookUps++;
            endedJobs.lookUp(job, end -> onEnd(job, end));
        }
        beginningLookUps = false;
    }

    private void onEnd(String job, EndedJobs.End end) {
        lookUps--;
        unresolvedByJob.remove(job).stream()
                .filter(start -> cluster.contains(start.machine()))
                .forEach(start -> resolve(start, end));
        lookUp();
    }

    private void resolve(OutstandingStart start, EndedJobs.End end) {
        if (end instanceof EndedJobs.End.Cancelled cancelled) {
            fence(start, cancelled.atMs().orElse(LONG_AGO_MS));
        } else {
            onVoid.accept(start);
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
                        cluster.isOfFormerLeader(start.attempt().number()))
                .log("start of a cancelled job outstanding");
        start.machine().fencing().addCancelledStart(start.attempt(), cancelledAtMs);
        cluster.markChanged();
    }
}
