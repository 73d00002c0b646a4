package io.quartzgw.agent;

import io.quartzgw.liveness.AgentLiveness.Freshness;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.startlog.MachineStarts;
import io.quartzgw.startlog.StartLog;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the agents during one term of this leader: receives their heartbeats and sends them commands.
 *
 * <p>Each heartbeat is decoded by {@link HeartbeatCodec}. {@link HeartbeatProcessor} classifies its freshness and
 * passes the task list to {@link TaskReconciler}; {@link HeartbeatResponder} builds the response.
 */
public final class AgentManager {
    private static final Logger LOG = LoggerFactory.getLogger(AgentManager.class);

    private static final Map<Freshness, String> FRESHNESS_COUNTERS = Map.of(
            Freshness.CURRENT, "reports.current",
            Freshness.UNVERIFIED, "reports.unverified",
            Freshness.STALE, "reports.stale");

    private final LeaderContext leader;
    private final AgentRegistry registry;
    private final TaskReconciler reconciler;
    private final AllocationRelease allocationRelease;
    private final HeartbeatProcessor processor;
    private final HeartbeatResponder responder;
    private final CommandDispatcher dispatcher;
    private final UnfencedAttemptsMonitor unfencedAttempts;
    private final StartLogUpdater startLogUpdater;
    private final InheritedStarts inheritedStarts;
    private final EndedJobStarts endedJobStarts;
    /** Newest heartbeat received before the stored state was loaded, by machine ID. */
    private final Map<String, Heartbeat> heartbeatsBeforeStateLoaded = new HashMap<>();

    private boolean stateLoaded;

    /** Receives the events that other parts of the leader have to act on. */
    public interface Listener {
        /** A task has completed; the completion must be recorded before the agent may remove the attempt. */
        void taskCompleted(Job job, int index);

        /** A machine must be recorded as used before the first start is sent to it. */
        void recordNeeded(Machine machine);

        /** The recorded start limit must be above the task's index before the start of the task is sent. */
        void recordNeeded(Job job, int index);
    }

    /**
     * Creates the manager for the current term.
     *
     * @param maxDirectCalls maximum number of direct calls in flight
     * @param isCancelled whether a job is known to be cancelled; usable before the open jobs have been read
     * @param startLog stores starts before they are sent in direct calls
     * @param endedJobs looks up whether a job that is not open was cancelled
     */
    public AgentManager(
            LeaderContext leader,
            AgentTiming timing,
            int maxDirectCalls,
            Predicate<String> isCancelled,
            StartLog startLog,
            EndedJobs endedJobs,
            Listener listener) {
        this.leader = leader;
        this.startLogUpdater = new StartLogUpdater(startLog);
        PendingCommands pendingCommands = new PendingCommands(leader, startLogUpdater, listener);
        this.registry = new AgentRegistry(leader);
        this.allocationRelease = new AllocationRelease(leader, registry);
        this.reconciler = new TaskReconciler(leader, registry, allocationRelease, timing, listener::taskCompleted);
        this.processor = new HeartbeatProcessor(leader, registry, reconciler, allocationRelease);
        RemovalFence removalFence = new RemovalFence(leader, timing, reconciler::updateRefusedJobs);
        this.responder = new HeartbeatResponder(leader, registry, pendingCommands, removalFence, isCancelled);
        this.dispatcher = new CommandDispatcher(
                leader, registry, pendingCommands, startLogUpdater, timing, maxDirectCalls, this::onReply);
        this.unfencedAttempts = new UnfencedAttemptsMonitor(leader, registry, timing);
        this.inheritedStarts = new InheritedStarts(leader, registry, startLogUpdater);
        this.endedJobStarts = new EndedJobStarts(leader, registry, endedJobs, inheritedStarts::drop);
        startLog.onStored(this::startsStored);
    }

    private void startsStored(String machine) {
        leader.cluster().findMachine(machine).ifPresent(registry::requestStarts);
    }

    // ---- heartbeats

    /** Processes a heartbeat; {@link #respond} must be called before the batch ends. */
    public ReceivedHeartbeat receive(Heartbeat heartbeat) {
        if (!stateLoaded) {
            heartbeatsBeforeStateLoaded.merge(
                    heartbeat.machine(),
                    heartbeat,
                    (first, second) -> second.id().isNewerThan(first.id()) ? second : first);
            return ReceivedHeartbeat.beforeStateLoaded(heartbeat);
        }
        Freshness freshness = process(heartbeat);
        leader.eventLoop().increment(FRESHNESS_COUNTERS.get(freshness), 1);
        if (freshness != Freshness.CURRENT) {
            logNotCurrent(heartbeat, freshness);
        }
        return ReceivedHeartbeat.processed(heartbeat, freshness);
    }

    /** Returns the response to a heartbeat; the response renews the agent's lease unless the heartbeat is stale. */
    public HeartbeatResponse respond(ReceivedHeartbeat received) {
        return received.freshness()
                .map(freshness -> responder.respond(received.heartbeat(), freshness))
                .orElseGet(() -> responder.respondBeforeStateLoaded(received.heartbeat()));
    }

    /** Starts to apply heartbeats to the cluster state; called when that has been read from the state service. */
    public void beginReconciling() {
        stateLoaded = true;
        heartbeatsBeforeStateLoaded.values().forEach(this::process);
        heartbeatsBeforeStateLoaded.clear();
    }

    private Freshness process(Heartbeat heartbeat) {
        HeartbeatProcessor.Result result = processor.process(heartbeat);
        result.contact().ifPresent(dispatcher::contact);
        return result.freshness();
    }

    private boolean onReply(AgentState agent, Heartbeat heartbeat) {
        if (!stateLoaded) {
            return false;
        }
        processor.processReply(agent, heartbeat).contact().ifPresent(dispatcher::contact);
        return true;
    }

    private static void logNotCurrent(Heartbeat heartbeat, Freshness freshness) {
        LOG.atDebug()
                .addKeyValue("machine", heartbeat.machine())
                .addKeyValue("epoch", heartbeat.epoch())
                .addKeyValue("sequence", heartbeat.sequence())
                .addKeyValue("token", heartbeat.fencingToken())
                .addKeyValue("freshness", freshness)
                .addKeyValue("renews_lease", freshness == Freshness.UNVERIFIED)
                .log("heartbeat not applied");
    }

    // ---- tasks and machines

    /** Drops the state of the agent of a machine that has been removed. */
    public void machineRemoved(Machine machine) {
        registry.remove(machine).ifPresent(reconciler::agentRemoved);
        startLogUpdater.machineRemoved(machine.id());
    }

    /**
     * Inherits the starts of previous leaders that may still be executed.
     *
     * @return the number of inherited starts, excluding starts to removed machines and starts of tasks that have ended
     */
    public int inheritStarts(Collection<MachineStarts> previousStarts) {
        int inherited = inheritedStarts.inherit(previousStarts);
        endedJobStarts.update();
        return inherited;
    }

    /**
     * Allocates unaccounted tasks of a job to the machines on which a direct call of a previous leader may still start
     * them. Called once no unresponsive machine can be running them.
     */
    public void allocateInheritedStarts(Job job) {
        inheritedStarts.allocateUnaccounted(job);
    }

    /**
     * Updates whether a machine runs orphaned attempts. Until these have stopped, they use capacity that belongs to no
     * allocation of an open job.
     */
    public void updateOrphanCapacity(Machine machine) {
        reconciler.updateOrphanCapacity(machine);
    }

    /** Handles that completions of tasks of a job have been recorded: the agents may remove those attempts. */
    public void completedTasksRecorded(Job job) {
        reconciler.completedTasksRecorded(job);
    }

    /** Returns whether a direct call may still start an allocation's attempt, even if its machine is unreachable. */
    public boolean mayDirectCallStart(Allocation allocation) {
        return allocationRelease.mayDirectCallStart(allocation);
    }

    /**
     * Handles that no attempt runs on a machine any longer; the machine may have been rebooted. Its tasks may then be
     * placed on other machines, except those whose start is outstanding.
     */
    public void allAttemptsLost(Machine machine) {
        allocationRelease.allAttemptsLost(machine);
    }

    /** Resends the starts of previous leaders whose jobs are within quota; called in every batch. */
    public void resendInheritedStarts(Predicate<Job> isWithinQuota) {
        inheritedStarts.resendWithinQuota(isWithinQuota);
    }

    /** Reports the unfenced attempts and warns of cancelled attempts that may still be started; called regularly. */
    public void reportUnfencedAttempts() {
        inheritedStarts.stopTrackingObsolete();
        endedJobStarts.update();
        unfencedAttempts.check();
        reportTokens();
    }

    private void reportTokens() {
        long used = registry.agents().stream()
                .mapToLong(agent -> agent.token().used())
                .max()
                .orElse(0);
        leader.eventLoop().setGauge("fencing.tokens_used", used);
    }

    // ---- commands

    /** Requests that the start of an allocation be sent at the end of this batch. */
    public void requestStart(Allocation allocation) {
        registry.requestStart(allocation);
    }

    /** Requests that the unsent starts of a machine's allocations be sent. */
    public void requestStarts(Machine machine) {
        registry.requestStarts(machine);
    }

    /** Requests that the unsent starts of a job's allocations be sent. */
    public void requestStarts(Job job) {
        registry.requestStarts(job);
    }

    /**
     * Requests that the attempt of an allocation be stopped: in a direct call at the end of this batch, and in
     * heartbeat responses until it has ended.
     */
    public void requestStop(Allocation allocation, double graceSeconds, StopReason reason) {
        registry.requestStop(allocation, graceSeconds, reason);
    }

    /** Sends the pending commands; called at the end of every batch. */
    public void sendPendingCommands() {
        dispatcher.sendPending();
    }

    /** Requests a heartbeat from a machine's agent in a direct call, which also shows the agent this leader's token. */
    public void contact(Machine machine) {
        dispatcher.contact(machine);
    }
}
