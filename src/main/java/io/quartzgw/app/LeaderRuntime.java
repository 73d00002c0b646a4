package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.agent.AgentManager;
import io.quartzgw.agent.Heartbeat;
import io.quartzgw.cancellation.CancellationRegistry;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.FleetManager;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.http.Sockets;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.model.TeamQuota;
import io.quartzgw.progress.ProgressRecorder;
import io.quartzgw.recovery.FailoverRecovery;
import io.quartzgw.recovery.RecoveryTiming;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Consolidation;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.Scheduler;
import io.quartzgw.scheduling.ServiceLevelObjectives;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.scheduling.TaskLauncher;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobCounts;
import io.quartzgw.submission.JobStore;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.submission.TerminalState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All that this node does as the leader of one term; a later term starts with a new one. */
final class LeaderRuntime {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderRuntime.class);
    private static final double TICK_LEASES = 0.03;
    private static final int SILENT_HEARTBEATS = 2;
    /** A takeover is short: it is worth more than the leases of so many workers. */
    private static final double CUT_OFF_FRACTION = 0.25;

    private static final double FLEET_PAUSE_HEARTBEATS = 0.1;
    /** After giving up for lack of reports, this node does not stand again for so long. */
    private static final int BACK_OFF_HEARTBEATS = 6;

    private final EventLoop kernel;
    private final Settings settings;
    private final Leadership leadership;
    private final JobStore jobs;
    private final CancellationRegistry cancellations;
    private final LeaderTerm term;
    private final long electedAt;
    private final PeerExchange peers;
    private final ClusterState cluster;
    private final AgentManager agents;
    private final ProgressRecorder progress;
    private final FailoverRecovery recovery;
    private final Scheduler scheduler;
    private final MachineRecords records;
    private final FleetManager fleet;
    private final OpenJobWatcher openJobs;
    private final JobCountPager countPages;
    private boolean fleetStarted;
    private boolean fleetDue;
    private boolean fleetPaused;

    /** @param formerAnswersUntil when a former leader can last answer a report */
    LeaderRuntime(ControllerServices services, long formerAnswersUntil) {
        this.kernel = services.kernel();
        this.settings = services.settings();
        this.leadership = services.leadership();
        this.jobs = services.jobs();
        this.cancellations = services.cancellations();
        this.peers = services.peers();
        this.term = new LeaderTerm(leadership);
        this.electedAt = kernel.nowMs();
        StoreClient store = services.store();
        MachineCatalog types = services.types();
        long reportMs = settings.agentTiming().heartbeatMs();
        RecoveryTiming recoveryTimes = RecoveryTiming.of(settings.agentTiming());
        this.cluster = new ClusterState(kernel, term.fencingToken());
        this.agents = new AgentManager(
                kernel,
                term,
                cluster,
                types,
                settings.agentTiming(),
                Sockets.of(settings.sockets()).orders(),
                cancellations::contains,
                new FromWorkers());
        this.progress = new ProgressRecorder(kernel, store, term, reportMs, new FromProgress());
        this.scheduler = newScheduler();
        this.records = new MachineRecords(
                kernel, store, term, cluster, 2 * (long) settings.timeBoundMs(), agents::requestStarts);
        this.fleet = newFleet(services.cloud(), types, recoveryTimes);
        this.openJobs = new OpenJobWatcher(
                kernel, store, term, cluster, services.watermark(), reportMs, this::knownTerminal, this::terminate);
        this.countPages = new JobCountPager(cluster);
        this.recovery = new FailoverRecovery(
                kernel,
                store,
                term,
                peers,
                types,
                cluster,
                agents,
                progress,
                records,
                recoveryTimes,
                formerAnswersUntil,
                this::knownTerminal,
                openJobs);
    }

    private Scheduler newScheduler() {
        return new Scheduler(
                kernel,
                cluster,
                settings.teams(),
                new ServiceLevelObjectives(settings.finishGoals(), settings.deadlineGoals(), settings.startGoals()),
                reservedCpus(settings) > 0,
                settings.agentTiming(),
                this::cloudExhausted,
                new ToWorkers());
    }

    private FleetManager newFleet(CloudClient cloud, MachineCatalog types, RecoveryTiming recoveryTimes) {
        Consolidation consolidation = new Consolidation(
                cluster,
                scheduler::usable,
                new ToWorkers(),
                settings.agentTiming().leaseMs());
        FleetManager.Policy policy = new FleetManager.Policy(
                reservedCpus(settings),
                recoveryTimes.reservationMs(),
                settings.cloudLimits().listLagMs());
        return new FleetManager(kernel, cloud, term, cluster, types, records, consolidation, policy, agents::forget);
    }

    // Where the guarantee is an aim, its room is there before the work comes.
    private static double reservedCpus(Settings settings) {
        return settings.hasObjective("guarantee")
                ? settings.teams().values().stream()
                        .mapToDouble(TeamQuota::guaranteedCpus)
                        .sum()
                : 0;
    }

    // Asked by the scheduler, which is there before the fleet.
    private boolean cloudExhausted() {
        return fleet.isExhausted();
    }

    void start() {
        recovery.start();
        tick();
    }

    private void tick() {
        if (term.isCurrent() && cutOffFromAgents()) {
            LOG.info("many workers reach another controller, but not this one: giving up term {}", term.fencingToken());
            leadership.resign(BACK_OFF_HEARTBEATS * settings.agentTiming().heartbeatMs());
        }
        if (term.isCurrent()) {
            kernel.after((long) (TICK_LEASES * settings.agentTiming().leaseMs()), this::tick);
            if (term.isConfirmed()) {
                // Guards against judging machines by silence of this node's own: after standing still it has heard
                // none of them, and another leader may have answered them meanwhile.
                recovery.releaseExpiredReservations();
            }
            cluster.markChanged();
        }
    }

    // A cut between this node and workers alone leaves its hold untouched, while their leases run out.
    // The others see it: workers that get no answer here turn up there, and are reached from there.
    private boolean cutOffFromAgents() {
        long up = 0;
        long silent = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && !machine.removeAllocation()) {
                up++;
                silent += kernel.nowMs() - Math.max(machine.liveness().lastResponseAt(), electedAt)
                                < SILENT_HEARTBEATS * settings.agentTiming().heartbeatMs()
                        ? 0
                        : 1;
            }
        }
        return silent > CUT_OFF_FRACTION * up && peers.agentsReachingOthers() > silent / 2;
    }

    /** Answers a worker's report. */
    ObjectNode handleHeartbeat(Heartbeat report) {
        return agents.handleHeartbeat(report);
    }

    /** Decides on all that the batch has changed. */
    void afterBatch() {
        if (!term.isCurrent()) {
            return;
        }
        recovery.checkProgress();
        if (recovery.isStateLoaded()) {
            if (term.isConfirmed() && cluster.takeChanged()) {
                scheduler.schedule();
                fleetDue = true;
            }
            if (!fleetStarted) {
                fleetStarted = true;
                fleet.start();
            }
            scaleFleet();
        }
        agents.sendPendingCommands();
        if (recovery.isStateLoaded()) {
            records.flush();
            progress.flush();
        }
    }

    // Renting looks at everything, and a rental takes far longer than this pause.
    private void scaleFleet() {
        if (fleetDue && !fleetPaused && term.isConfirmed()) {
            fleetPaused = true;
            fleetDue = fleet.scale(scheduler.unplaced(), recovery.isWindowClosed());
            kernel.after(
                    (long) (FLEET_PAUSE_HEARTBEATS * settings.agentTiming().heartbeatMs()), () -> fleetPaused = false);
        }
    }

    // ---- jobs

    void jobAccepted(OpenJob open) {
        openJobs.accepted(open);
    }

    private boolean knownTerminal(String id) {
        return jobs.cachedTerminalState(id) != null || cancellations.contains(id);
    }

    void jobCancelled(String id) {
        terminate(id);
    }

    private void terminate(String id) {
        Job job = cluster.job(id);
        if (job == null || job.isTerminal()) {
            return;
        }
        cluster.terminate(job);
        for (Allocation booking : job.allocationsSnapshot()) {
            agents.requestStop(booking, 0, StopReason.JOB_OVER);
        }
        agents.finishesRecorded(job);
        progress.forgetJob(id);
    }

    /** The next page of counts for display. */
    JobCounts nextCountPage(int most) {
        return countPages.next(most);
    }

    // ---- between the slices

    private final class ToWorkers implements TaskLauncher {
        @Override
        public void start(Allocation booking) {
            agents.requestStart(booking);
        }

        @Override
        public void stop(Allocation booking, double graceS, StopReason reason) {
            agents.requestStop(booking, graceS, reason);
        }
    }

    private final class FromWorkers implements AgentManager.Listener {
        @Override
        public void taskFinished(Job job, int index) {
            progress.recordFinish(job, index);
        }

        @Override
        public void recordNeeded(Machine machine) {
            records.markUsed(machine);
        }

        @Override
        public void recordNeeded(Job job, int index) {
            progress.recordStart(job, index);
        }
    }

    private final class FromProgress implements ProgressRecorder.Listener {
        @Override
        public void startsRecorded(Job job) {
            agents.requestStarts(job);
        }

        @Override
        public void finishesRecorded(Job job) {
            agents.finishesRecorded(job);
        }

        @Override
        public void jobCompleted(Job job, TerminalState phase) {
            jobs.recordTerminal(job.id(), phase);
            terminate(job.id());
        }

        @Override
        public void jobTerminatedElsewhere(Job job) {
            terminate(job.id());
        }
    }
}
