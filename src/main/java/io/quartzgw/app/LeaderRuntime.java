package io.quartzgw.app;

import io.quartzgw.agent.AgentManager;
import io.quartzgw.agent.Heartbeat;
import io.quartzgw.agent.HeartbeatResponse;
import io.quartzgw.agent.LeaderContext;
import io.quartzgw.agent.ReceivedHeartbeat;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.FleetContext;
import io.quartzgw.fleet.FleetManager;
import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.http.SocketBudget;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.progress.ProgressRecorder;
import io.quartzgw.recovery.FailoverRecovery;
import io.quartzgw.recovery.RecoveryTiming;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.Scheduler;
import io.quartzgw.scheduling.SchedulingPolicy;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.startlog.StartLog;
import io.quartzgw.submission.JobStore;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.TaskCountPage;
import io.quartzgw.submission.TerminalState;

/**
 * The leader's side of a controller for one term; each term has its own instance. Builds the leader's components,
 * passes events between them, and runs them after each batch and on a timer.
 */
final class LeaderRuntime {
    private static final double TICK_INTERVAL_LEASES = 0.03;
    /**
     * How long this controller does not stand for election after it resigned because it was partitioned from its
     * agents, in heartbeat intervals.
     */
    private static final int RESIGNATION_BACKOFF_HEARTBEATS = 6;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final Leadership leadership;
    private final JobStore jobStore;
    private final CancellationRegistry cancellations;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final StartLog startLog;
    private final AgentManager agents;
    private final ProgressRecorder progress;
    private final FailoverRecovery recovery;
    private final Scheduler scheduler;
    private final MachineRecords machineRecords;
    private final FleetManager fleet;
    private final FleetScalingThrottle fleetScaling;
    private final OpenJobWatcher openJobWatcher;
    private final TaskCountPager taskCountPager;
    private final AgentReachability reachability;

    /** @param previousLeaderActiveUntilMs the latest time at which a previous leader can respond to a heartbeat */
    LeaderRuntime(ControllerServices services, long previousLeaderActiveUntilMs) {
        this.eventLoop = services.eventLoop();
        this.settings = services.settings();
        this.leadership = services.leadership();
        this.jobStore = services.jobs();
        this.cancellations = services.cancellations();
        this.term = new LeaderTerm(leadership);
        this.cluster = new ClusterState(eventLoop, term.number());
        AgentTiming agentTiming = settings.agentTiming();
        RecoveryTiming recoveryTiming = RecoveryTiming.of(agentTiming);
        LeaderContext context = new LeaderContext(eventLoop, term, cluster, services.catalog());
        this.startLog = new StartLog(eventLoop, services.store(), term, agentTiming.heartbeatMs());
        this.agents = new AgentManager(
                context,
                agentTiming,
                SocketBudget.of(settings.maxSockets()).directCalls(),
                cancellations::contains,
                startLog,
                new EndedJobLookup(eventLoop, jobStore, cancellations, term, recoveryTiming.retryDelayMs()),
                new AgentEvents());
        this.progress = new ProgressRecorder(
                eventLoop, services.store(), term, agentTiming.heartbeatMs(), new ProgressEvents());
        this.scheduler = newScheduler();
        this.machineRecords = new MachineRecords(
                eventLoop,
                services.store(),
                term,
                cluster,
                LeaderPolicies.maxClockSkewMs(settings),
                agents::requestStarts);
        this.fleet = newFleet(services, recoveryTiming);
        this.fleetScaling = new FleetScalingThrottle(eventLoop, fleet, agentTiming.heartbeatMs());
        this.openJobWatcher = newOpenJobWatcher(services);
        this.taskCountPager = new TaskCountPager(cluster);
        this.reachability = new AgentReachability(eventLoop, cluster, services.peers(), agentTiming.heartbeatMs());
        this.recovery = newRecovery(services, context, previousLeaderActiveUntilMs);
    }

    private FailoverRecovery newRecovery(
            ControllerServices services, LeaderContext context, long previousLeaderActiveUntilMs) {
        FailoverRecovery.Collaborators collaborators = new FailoverRecovery.Collaborators(
                services.store(), services.peers(), agents, progress, machineRecords, startLog);
        RecoveryTiming timing = RecoveryTiming.of(settings.agentTiming());
        return new FailoverRecovery(
                context, collaborators, timing, previousLeaderActiveUntilMs, this::isKnownTerminal, openJobWatcher);
    }

    private Scheduler newScheduler() {
        SchedulingPolicy policy = LeaderPolicies.scheduling(settings);
        return new Scheduler(eventLoop, cluster, policy, this::isCloudExhausted, new AgentTaskLauncher(agents));
    }

    private FleetManager newFleet(ControllerServices services, RecoveryTiming recoveryTiming) {
        Consolidation consolidation = new Consolidation(
                cluster,
                scheduler::isSchedulable,
                new AgentTaskLauncher(agents),
                settings.agentTiming().leaseMs());
        FleetContext context = new FleetContext(
                eventLoop, services.cloud(), term, cluster, LeaderPolicies.fleet(settings, recoveryTiming));
        return new FleetManager(context, services.catalog(), machineRecords, consolidation, new FleetEvents());
    }

    private OpenJobWatcher newOpenJobWatcher(ControllerServices services) {
        return new OpenJobWatcher(
                eventLoop,
                services.store(),
                term,
                cluster,
                services.watermark(),
                settings.agentTiming().heartbeatMs(),
                new OpenJobWatcher.JobEvents(this::isKnownTerminal, this::terminate));
    }

    // The fleet manager does not exist yet when the scheduler is built, so the scheduler calls it through this method.
    private boolean isCloudExhausted() {
        return fleet.isExhausted();
    }

    void start() {
        recovery.start();
        tick();
    }

    private void tick() {
        if (term.isCurrent() && reachability.isPartitioned()) {
            leadership.resign(
                    RESIGNATION_BACKOFF_HEARTBEATS * settings.agentTiming().heartbeatMs());
        }
        if (term.isCurrent()) {
            eventLoop.after(
                    (long) (TICK_INTERVAL_LEASES * settings.agentTiming().leaseMs()), this::tick);
            if (term.isConfirmed()) {
                // A paused process receives no heartbeats, and another leader may have answered them. Only a
                // confirmed leader may conclude from missing heartbeats that a machine is unresponsive.
                recovery.releaseExpiredReservations();
            }
            cluster.markChanged();
            scheduler.reportExclusions();
        } else {
            scheduler.clearExclusions();
        }
        agents.reportUnfencedAttempts();
        startLog.report();
    }

    /** Processes an agent's heartbeat. */
    ReceivedHeartbeat receive(Heartbeat heartbeat) {
        return agents.receive(heartbeat);
    }

    /** Returns the response to a heartbeat, which renews the agent's lease. */
    HeartbeatResponse respond(ReceivedHeartbeat received) {
        return agents.respond(received);
    }

    /** Runs scheduling and fleet scaling if due, and sends pending commands and writes. */
    void afterBatch() {
        if (!term.isCurrent()) {
            return;
        }
        recovery.checkProgress();
        if (recovery.isStateLoaded()) {
            agents.resendInheritedStarts(scheduler::isWithinQuota);
            if (term.isConfirmed() && cluster.takeChanged()) {
                scheduler.schedule();
                fleetScaling.requestRun();
            }
            fleetScaling.startOnce();
            if (term.isConfirmed()) {
                fleetScaling.runIfDue(scheduler.unplaced(), recovery.isRecoveryWindowClosed());
            }
        }
        agents.sendPendingCommands();
        startLog.flush();
        if (recovery.isStateLoaded()) {
            machineRecords.flush();
            progress.flush();
        }
    }

    // ---- jobs

    void jobAccepted(OpenJob job) {
        openJobWatcher.jobAccepted(job);
    }

    private boolean isKnownTerminal(String id) {
        return jobStore.terminalState(id).isPresent() || cancellations.contains(id);
    }

    void jobCancelled(String id) {
        terminate(id);
    }

    private void terminate(String id) {
        cluster.findJob(id).filter(job -> !job.isTerminal()).ifPresent(this::terminate);
    }

    private void terminate(Job job) {
        cluster.terminate(job, cancellations.cancelledAtMs(job.id()).orElse(eventLoop.nowMs()));
        for (Allocation allocation : job.allocationsSnapshot()) {
            agents.requestStop(allocation, 0, StopReason.JOB_OVER);
        }
        agents.completedTasksRecorded(job);
        progress.removeJob(job.id());
    }

    /** Returns the next page of task counts for display, with at most {@code maxJobs} jobs. */
    TaskCountPage nextTaskCountPage(int maxJobs) {
        return taskCountPager.nextPage(maxJobs);
    }

    // ---- events between components

    private final class FleetEvents implements FleetManager.Listener {
        @Override
        public void machineFailed(Machine machine) {
            agents.allAttemptsLost(machine);
        }

        @Override
        public void machineRemoved(Machine machine) {
            agents.machineRemoved(machine);
        }
    }

    private final class AgentEvents implements AgentManager.Listener {
        @Override
        public void taskCompleted(Job job, int index) {
            progress.recordCompletedTask(job, index);
        }

        @Override
        public void recordNeeded(Machine machine) {
            machineRecords.markUsed(machine);
        }

        @Override
        public void recordNeeded(Job job, int index) {
            progress.requestStartLimitAbove(job, index);
        }
    }

    private final class ProgressEvents implements ProgressRecorder.Listener {
        @Override
        public void startLimitRaised(Job job) {
            agents.requestStarts(job);
        }

        @Override
        public void completedTasksRecorded(Job job) {
            agents.completedTasksRecorded(job);
        }

        @Override
        public void jobCompleted(Job job, TerminalState state) {
            jobStore.recordTerminal(job.id(), state);
            terminate(job.id());
        }

        @Override
        public void jobNoLongerOpen(Job job) {
            terminate(job.id());
        }
    }
}
