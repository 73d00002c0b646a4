package io.quartzgw.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.MachineType;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers workers' reports and weighs what each proves, for one term of this node. */
public final class AgentManager {
    private static final Logger LOG = LoggerFactory.getLogger(AgentManager.class);

    private static final Map<AgentLiveness.Freshness, String> FRESHNESS_COUNTERS = Map.of(
            AgentLiveness.Freshness.CURRENT,
            "reports.current",
            AgentLiveness.Freshness.UNVERIFIED,
            "reports.unverified",
            AgentLiveness.Freshness.STALE,
            "reports.stale");

    private final EventLoop kernel;
    private final ClusterState cluster;
    private final MachineCatalog catalog;
    private final LeaderTerm term;
    private final AgentRegistry registry;
    private final TaskReconciler reconciler;
    private final CommandDispatcher dispatcher;
    private final Map<String, Heartbeat> buffered = new HashMap<>();
    private final Predicate<String> isCancelled;
    private boolean stateLoaded;

    /** What the rest of the leader wants to know of. */
    public interface Listener {
        /** A task has completed; its finish has to be recorded before the worker may forget it. */
        void taskFinished(Job job, int index);

        /** A machine has to be marked as used before its first start. */
        void recordNeeded(Machine machine);

        /** It has to be recorded that a task may be started before it is. */
        void recordNeeded(Job job, int index);
    }

    /**
     * @param mostCalls how many direct calls may be under way at once
     * @param isCancelled whether a job is known to be cancelled, also before the open jobs have been read
     */
    public AgentManager(
            EventLoop kernel,
            LeaderTerm term,
            ClusterState cluster,
            MachineCatalog types,
            AgentTiming times,
            int mostCalls,
            Predicate<String> cancelled,
            Listener listener) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.catalog = types;
        this.isCancelled = cancelled;
        this.term = term;
        this.registry = new AgentRegistry(cluster);
        this.reconciler = new TaskReconciler(kernel, cluster, registry, times, listener::taskFinished);
        this.dispatcher = new CommandDispatcher(
                kernel, term, cluster, registry, times, mostCalls, listener, this::onCommandReply);
    }

    // ---- reports

    /** Encodes the response of {@link #receive}; kept for callers that do not encode it themselves. */
    public ObjectNode handleHeartbeat(Heartbeat heartbeat) {
        return HeartbeatResponseCodec.encode(receive(heartbeat));
    }

    /** Handles a heartbeat and returns the response, which renews the agent's lease. */
    public HeartbeatResponse receive(Heartbeat report) {
        List<AgentCommand> orders = new ArrayList<>();
        if (!stateLoaded) {
            // Hard state is still being read: keep the newest word of each machine for then.
            buffered.merge(report.machine(), report, (old, now) -> now.isNewerThan(old) ? now : old);
            stopTerminalJobs(report, orders);
            return HeartbeatResponse.renewingLease(orders, term.fencingToken());
        }
        AgentLiveness.Freshness freshness = applyHeartbeat(report, false);
        kernel.increment(FRESHNESS_COUNTERS.get(freshness), 1);
        if (freshness != AgentLiveness.Freshness.CURRENT) {
            LOG.atDebug()
                    .addKeyValue("machine", report.machine())
                    .addKeyValue("session", report.epoch())
                    .addKeyValue("counter", report.sequence())
                    .addKeyValue("token", report.fencingToken())
                    .addKeyValue("freshness", freshness)
                    .addKeyValue("renews", freshness == AgentLiveness.Freshness.UNVERIFIED)
                    .log("report proves nothing");
        }
        // Without a token in its answer, a worker drops it: see Presence.answered.
        if (freshness == AgentLiveness.Freshness.STALE) {
            return HeartbeatResponse.ignored();
        }
        if (freshness != AgentLiveness.Freshness.CURRENT) {
            stopTerminalJobs(report, orders);
        }
        Machine machine = cluster.machine(report.machine());
        // Only in the session that is proved: a start offered to a later one would be executed there, while the
        // proof of that session, already on its way, gives the task to another machine.
        if (machine != null
                && machine.liveness().verified()
                && machine.liveness().epoch() == report.epoch()) {
            addPendingCommands(registry.agentOf(machine), report, orders);
        }
        return HeartbeatResponse.renewingLease(orders, term.fencingToken());
    }

    private void addPendingCommands(AgentState worker, Heartbeat report, List<AgentCommand> orders) {
        List<AgentCommand> pending = dispatcher.pendingCommands(worker, false);
        orders.addAll(pending);
        AgentCommand.startedAttempts(pending)
                .forEach(start -> worker.outstandingStarts.sentInResponse(start, report.sequence()));
        logResponse(report, orders);
    }

    private void logResponse(Heartbeat report, List<AgentCommand> orders) {
        if (orders.isEmpty()) {
            return;
        }
        kernel.increment("orders.in_responses", orders.size());
        LOG.atDebug()
                .addKeyValue("machine", report.machine())
                .addKeyValue("channel", "response")
                .addKeyValue("term", term.fencingToken())
                .addKeyValue("confirmed", term.isConfirmed())
                .addKeyValue("session", report.epoch())
                .addKeyValue("counter", report.sequence())
                .addKeyValue("orders", orders)
                .log("orders are sent");
    }

    // Guards against leaders that follow each other quickly: each renews the lease with its first answer, and where
    // that stopped nothing, a cancelled task would live as long as they do. Every answer that renews a lease stops what
    // the report lists of jobs that are known to be over, whether or not the report proves anything. Once
    // the open jobs were read, that is every job that the leader doesn't have: only a leader starts tasks, and only of
    // jobs that it has read.
    private void stopTerminalJobs(Heartbeat report, List<AgentCommand> orders) {
        for (Heartbeat.TaskStatus task : report.tasks()) {
            Attempt attempt = task.attempt();
            if (task.state() != Heartbeat.TaskState.EXITED
                    && (isCancelled.test(attempt.job())
                            || stateLoaded && attempt.openJob(cluster).isEmpty())) {
                orders.add(AgentCommand.Stop.immediately(attempt));
            }
        }
    }

    /** Hard state has been read: reports change the cluster state from now on. */
    public void beginReconciling() {
        stateLoaded = true;
        buffered.values().forEach(report -> applyHeartbeat(report, false));
        buffered.clear();
    }

    /** Drops what is kept of a machine that is gone. */
    public void forget(Machine machine) {
        reconciler.forget(registry.remove(machine));
    }

    /**
     * Applies what a worker says, as far as it proves anything.
     *
     * @param direct whether it is the answer to an order, and not a report that may be a late copy
     */
    private AgentLiveness.Freshness applyHeartbeat(Heartbeat report, boolean direct) {
        Machine machine = cluster.machine(report.machine());
        if (machine == null) {
            machine = adoptUnexpected(report);
            if (machine == null) {
                return AgentLiveness.Freshness.UNVERIFIED;
            }
        }
        AgentLiveness presence = machine.liveness();
        AgentLiveness.Freshness freshness = presence.classify(
                report.epoch(), report.sequence(), report.fencingToken() >= term.fencingToken(), direct);
        if (freshness == AgentLiveness.Freshness.CURRENT) {
            reconcile(machine, report, direct);
        } else {
            machine.address(report.address());
            if (!machine.hasRunTasks() || presence.verified()) {
                // A new worker, or the worker of a machine that came back, or a late copy: it shows by its
                // answer. Those that a former leader has used come by themselves once they know the token.
                dispatcher.contact(machine);
            }
        }
        if (!direct) {
            if (freshness != AgentLiveness.Freshness.STALE) {
                presence.lastResponseAt(kernel.nowMs());
            }
            if (presence.unreachable()) {
                dispatcher.contact(machine);
            }
        }
        return freshness;
    }

    private void reconcile(Machine machine, Heartbeat report, boolean direct) {
        AgentLiveness presence = machine.liveness();
        AgentState worker = registry.agentOf(machine);
        boolean first = !presence.verified();
        boolean restarted = !first && report.epoch() > presence.epoch();
        boolean back = machine.removeAllocation();
        machine.address(report.address());
        presence.recordHeartbeat(report.epoch(), report.sequence(), kernel.nowMs());
        machine.markUp();
        if (restarted) {
            // The lease ran out: the worker has killed and forgotten all that it had before. Perhaps no
            // answer reaches it: it gets nothing new before it has answered an order.
            LOG.info("{} starts session {}", machine.id(), report.epoch());
            worker.epochEnded();
            reconciler.updateUnexplained(machine);
            machine.allocationsSnapshot().forEach(cluster::release);
            presence.markUnreachable(kernel.nowMs());
        }
        if (!direct) {
            worker.outstandingStarts.heartbeatReceived(report.sequence());
        }
        machine.reclaimAt(
                report.reclaimInSeconds().isPresent()
                        ? kernel.nowMs() + (long) (report.reclaimInSeconds().getAsDouble() * 1000)
                        : Long.MAX_VALUE);
        if (worker.replaceTaskList(report.taskList()) || back) {
            List<Heartbeat.TaskStatus> listed = report.tasks();
            kernel.increment("reports.read", 1);
            LOG.debug("{} session {} reports {}", machine.id(), report.epoch(), listed);
            reconciler.apply(worker, listed);
        }
        reconciler.updateRefusedJobs(worker);
        if (first || restarted || back) {
            cluster.markChanged();
        }
    }

    private Machine adoptUnexpected(Heartbeat report) {
        MachineType type = catalog.get(report.source().machineType());
        // Without this leader's token it may be a late copy of a machine that is long gone.
        if (type == null || cluster.wasRemoved(report.machine()) || report.fencingToken() < term.fencingToken()) {
            return null;
        }
        Machine machine = new Machine(
                report.machine(), type, report.source().zone(), report.source().spot(), kernel.nowMs(), kernel.nowMs());
        cluster.add(machine);
        return machine;
    }

    // The answer to an order names an older message than was known when the order was sent: the machine has
    // a new worker. What the former one ran is gone; a start on its way may yet reach the new one.
    private void workerReplaced(AgentState worker, Heartbeat report) {
        Machine machine = worker.machine;
        LOG.info("{} has a new worker", machine.id());
        worker.agentReplaced();
        reconciler.updateUnexplained(machine);
        machine.liveness().agentReplaced(report.epoch(), report.sequence());
        for (Allocation booking : machine.allocationsSnapshot()) {
            if (worker.outstandingStarts.mayArriveLate(Attempt.of(booking))) {
                // Also where the former worker had shown it: what the new one does not report is not gone for that.
                booking.agentReplaced();
            } else {
                cluster.release(booking);
            }
        }
    }

    /** Applies the report with which a worker has answered an order, unless hard state is still being read. */
    private boolean onCommandReply(AgentState worker, Heartbeat report) {
        if (!stateLoaded) {
            return false;
        }
        AgentLiveness presence = worker.machine.liveness();
        presence.markReachable();
        if (presence.verified()
                && !AgentLiveness.isNewer(
                        report.epoch(), report.sequence(), worker.epochAtCall, worker.sequenceAtCall)) {
            workerReplaced(worker, report);
        }
        presence.observeEpoch(report.epoch());
        applyHeartbeat(report, true);
        return true;
    }

    // ---- orders

    /** Says whether the open jobs explain all that a machine runs: what is being stopped there still takes room. */
    public void updateUnexplained(Machine machine) {
        reconciler.updateUnexplained(machine);
    }

    /** The finishes of a job's tasks are in the state service: workers may forget them. */
    public void finishesRecorded(Job job) {
        reconciler.finishesRecorded(job);
    }

    /** Has a booking's start sent at the end of this batch. */
    public void requestStart(Allocation booking) {
        registry.requestStart(booking);
    }

    /** Has the starts sent that wait on a machine. */
    public void requestStarts(Machine machine) {
        registry.requestStarts(machine);
    }

    /** Has the starts sent of a job's tasks that wait for that. */
    public void requestStarts(Job job) {
        registry.requestStarts(job);
    }

    /** Whether a direct order may still start a booking's attempt, however silent its machine is. */
    public boolean startMayArriveLate(Allocation booking) {
        return registry.agentOf(booking.machine()).outstandingStarts.mayArriveLate(Attempt.of(booking));
    }

    /** Has a task stopped: directly at the end of this batch, and in report responses until it has ended. */
    public void requestStop(Allocation booking, double graceS, StopReason reason) {
        registry.requestStop(booking, graceS, reason);
    }

    /** Sends what is due to every worker. */
    public void sendPendingCommands() {
        dispatcher.sendPending();
    }

    /** Asks a machine for its report, which also shows it this leader's token. */
    public void contact(Machine machine) {
        dispatcher.contact(machine);
    }
}
