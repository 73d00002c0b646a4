package io.quartzgw.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.cancellation.Cancellations;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.Fleet;
import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.http.Sockets;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.leadership.Peers;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Consolidation;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.Objectives;
import io.quartzgw.placement.Scheduler;
import io.quartzgw.placement.StopReason;
import io.quartzgw.placement.TaskControl;
import io.quartzgw.placement.Team;
import io.quartzgw.progress.Progress;
import io.quartzgw.recovery.Recovery;
import io.quartzgw.recovery.RecoveryTimes;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.FinalPhase;
import io.quartzgw.submission.JobCounts;
import io.quartzgw.submission.JobStore;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.worker.Report;
import io.quartzgw.worker.Workers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All that this node does as the leader of one term; a later term starts with a new one. */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
    private static final double CHECK_LEASES = 0.03;
    private static final int SILENT_REPORTS = 2;
    /** A takeover is short: it is worth more than the leases of so many workers. */
    private static final double CUT_PART = 0.25;

    private static final double FLEET_REPORTS = 0.1;
    /** After giving up for lack of reports, this node does not stand again for so long. */
    private static final int ABSTAIN_REPORTS = 6;

    private final Kernel kernel;
    private final Settings settings;
    private final Leadership leadership;
    private final JobStore jobs;
    private final Cancellations cancellations;
    private final LeaderTerm term;
    private final long since;
    private final Peers peers;
    private final Cluster cluster;
    private final Workers workers;
    private final Progress progress;
    private final Recovery recovery;
    private final Scheduler scheduler;
    private final MachineRecords records;
    private final Fleet fleet;
    private final OpenJobs openJobs;
    private final CountPages countPages;
    private boolean fleetStarted;
    private boolean fleetDue;
    private boolean fleetPaused;

    /** @param formerAnswersUntil when a former leader can last answer a report */
    Leader(ControllerServices services, long formerAnswersUntil) {
        this.kernel = services.kernel();
        this.settings = services.settings();
        this.leadership = services.leadership();
        this.jobs = services.jobs();
        this.cancellations = services.cancellations();
        this.peers = services.peers();
        this.term = new LeaderTerm(leadership);
        this.since = kernel.now();
        StoreClient store = services.store();
        MachineTypes types = services.types();
        long reportMs = settings.workers().reportMs();
        RecoveryTimes recoveryTimes = RecoveryTimes.of(settings.workers());
        this.cluster = new Cluster(kernel, term.number());
        this.workers = new Workers(
                kernel,
                term,
                cluster,
                types,
                settings.workers(),
                Sockets.of(settings.sockets()).orders(),
                cancellations::knows,
                new FromWorkers());
        this.progress = new Progress(kernel, store, term, reportMs, new FromProgress());
        this.scheduler = newScheduler();
        this.records =
                new MachineRecords(kernel, store, term, cluster, 2 * (long) settings.timeBoundMs(), workers::startsDue);
        this.fleet = newFleet(services.cloud(), types, recoveryTimes);
        this.openJobs =
                new OpenJobs(kernel, store, term, cluster, services.watermark(), reportMs, this::knownOver, this::over);
        this.countPages = new CountPages(cluster);
        this.recovery = new Recovery(
                kernel,
                store,
                term,
                peers,
                types,
                cluster,
                workers,
                progress,
                records,
                recoveryTimes,
                formerAnswersUntil,
                this::knownOver,
                openJobs);
    }

    private Scheduler newScheduler() {
        return new Scheduler(
                kernel,
                cluster,
                settings.teams(),
                new Objectives(settings.finishGoals(), settings.deadlineGoals(), settings.startGoals()),
                keptCpus(settings) > 0,
                settings.workers(),
                this::cloudExhausted,
                new ToWorkers());
    }

    private Fleet newFleet(CloudClient cloud, MachineTypes types, RecoveryTimes recoveryTimes) {
        Consolidation consolidation = new Consolidation(
                cluster, scheduler::usable, new ToWorkers(), settings.workers().leaseMs());
        Fleet.Policy policy = new Fleet.Policy(
                keptCpus(settings),
                recoveryTimes.silentMs(),
                settings.cloudLimits().listLagMs());
        return new Fleet(kernel, cloud, term, cluster, types, records, consolidation, policy, workers::forget);
    }

    // Where the guarantee is an aim, its room is there before the work comes.
    private static double keptCpus(Settings settings) {
        return settings.aimsAt("guarantee")
                ? settings.teams().values().stream().mapToDouble(Team::cpus).sum()
                : 0;
    }

    // Asked by the scheduler, which is there before the fleet.
    private boolean cloudExhausted() {
        return fleet.exhausted();
    }

    void start() {
        recovery.start();
        tick();
    }

    private void tick() {
        if (term.current() && cutFromWorkers()) {
            LOG.info("many workers reach another controller, but not this one: giving up term {}", term.number());
            leadership.abdicate(ABSTAIN_REPORTS * settings.workers().reportMs());
        }
        if (term.current()) {
            kernel.after((long) (CHECK_LEASES * settings.workers().leaseMs()), this::tick);
            if (term.confirmed()) {
                // Guards against judging machines by silence of this node's own: after standing still it has heard
                // none of them, and another leader may have answered them meanwhile.
                recovery.releaseExpired();
            }
            cluster.touch();
        }
    }

    // A cut between this node and workers alone leaves its hold untouched, while their leases run out.
    // The others see it: workers that get no answer here turn up there, and are reached from there.
    private boolean cutFromWorkers() {
        long up = 0;
        long silent = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.status() == Machine.Status.UP && !machine.released()) {
                up++;
                silent += kernel.now() - Math.max(machine.presence().lastAnswered(), since)
                                < SILENT_REPORTS * settings.workers().reportMs()
                        ? 0
                        : 1;
            }
        }
        return silent > CUT_PART * up && peers.workersAtOthers() > silent / 2;
    }

    /** Answers a worker's report. */
    ObjectNode report(Report report) {
        return workers.report(report);
    }

    /** Decides on all that the batch has changed. */
    void afterBatch() {
        if (!term.current()) {
            return;
        }
        recovery.check();
        if (recovery.stateLoaded()) {
            if (term.confirmed() && cluster.takeChanged()) {
                scheduler.run();
                fleetDue = true;
            }
            if (!fleetStarted) {
                fleetStarted = true;
                fleet.start();
            }
            adjustFleet();
        }
        workers.flush();
        if (recovery.stateLoaded()) {
            records.flush();
            progress.flush();
        }
    }

    // Renting looks at everything, and a rental takes far longer than this pause.
    private void adjustFleet() {
        if (fleetDue && !fleetPaused && term.confirmed()) {
            fleetPaused = true;
            fleetDue = fleet.adjust(scheduler.unplaced(), recovery.placing());
            kernel.after((long) (FLEET_REPORTS * settings.workers().reportMs()), () -> fleetPaused = false);
        }
    }

    // ---- jobs

    void accepted(OpenJob open) {
        openJobs.accepted(open);
    }

    private boolean knownOver(String id) {
        return jobs.cached(id) != null || cancellations.knows(id);
    }

    void cancelled(String id) {
        over(id);
    }

    private void over(String id) {
        Job job = cluster.job(id);
        if (job == null || job.over()) {
            return;
        }
        cluster.end(job);
        for (Booking booking : job.bookingsCopy()) {
            workers.stop(booking, 0, StopReason.JOB_OVER);
        }
        workers.recorded(job);
        progress.dropped(id);
    }

    /** The next page of counts for display. */
    JobCounts counts(int most) {
        return countPages.next(most);
    }

    // ---- between the slices

    private final class ToWorkers implements TaskControl {
        @Override
        public void start(Booking booking) {
            workers.start(booking);
        }

        @Override
        public void stop(Booking booking, double graceS, StopReason reason) {
            workers.stop(booking, graceS, reason);
        }
    }

    private final class FromWorkers implements Workers.Listener {
        @Override
        public void finished(Job job, int index) {
            progress.finished(job, index);
        }

        @Override
        public void needsRecord(Machine machine) {
            records.mark(machine);
        }

        @Override
        public void needsRecord(Job job, int index) {
            progress.starting(job, index);
        }
    }

    private final class FromProgress implements Progress.Listener {
        @Override
        public void startable(Job job) {
            workers.startsDue(job);
        }

        @Override
        public void recorded(Job job) {
            workers.recorded(job);
        }

        @Override
        public void ended(Job job, FinalPhase phase) {
            jobs.over(job.id(), phase);
            over(job.id());
        }

        @Override
        public void endedOtherwise(Job job) {
            over(job.id());
        }
    }
}
