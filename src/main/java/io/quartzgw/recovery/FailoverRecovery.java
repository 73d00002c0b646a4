package io.quartzgw.recovery;

import io.quartzgw.agent.AgentManager;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.progress.ProgressBitmaps;
import io.quartzgw.progress.ProgressRecorder;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A takeover: reads hard state, gathers reports for a window, then lets the leader place. */
public final class FailoverRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverRecovery.class);

    /** How far the takeover is. */
    private enum Phase {
        READING,
        GATHERING,
        PLACING
    }

    private final EventLoop kernel;
    private final StoreClient store;
    private final PeerExchange peers;
    private final MachineCatalog catalog;
    private final ClusterState cluster;
    private final AgentManager agents;
    private final ProgressRecorder progress;
    private final MachineRecords machineRecords;
    private final RecoveryTiming times;
    private final LeaderTerm term;
    private final Predicate<String> knownTerminal;
    private final StoreClient.Watcher openJobs;
    private final long electedAt;
    private long previousLeaderActiveUntil;
    private boolean previousLeadersStopped;
    private Phase phase = Phase.READING;
    /** Machines that may run something and have not shown this leader's token yet. */
    private final Set<Machine> silentMachines = new LinkedHashSet<>();

    /**
     * @param previousLeaderActiveUntil when a former leader can last answer a report, its grace included
     * @param knownTerminal whether a job is known to have ended, whatever was read of it
     * @param openJobs follows the open jobs from the revision that they were read at
     */
    public FailoverRecovery(
            EventLoop kernel,
            StoreClient store,
            LeaderTerm term,
            PeerExchange peers,
            MachineCatalog types,
            ClusterState cluster,
            AgentManager workers,
            ProgressRecorder progress,
            MachineRecords records,
            RecoveryTiming times,
            long formerAnswersUntil,
            Predicate<String> knownOver,
            StoreClient.Watcher openJobs) {
        this.kernel = kernel;
        this.store = store;
        this.peers = peers;
        this.catalog = types;
        this.cluster = cluster;
        this.agents = workers;
        this.progress = progress;
        this.machineRecords = records;
        this.times = times;
        this.term = term;
        this.previousLeaderActiveUntil = formerAnswersUntil;
        this.knownTerminal = knownOver;
        this.openJobs = openJobs;
        this.electedAt = kernel.nowMs();
    }

    public void start() {
        readState();
    }

    /** Whether hard state was read: what no silent machine can have may be placed on those that answered. */
    public boolean isStateLoaded() {
        return phase != Phase.READING;
    }

    /** Whether the window is over. */
    public boolean isWindowClosed() {
        return phase == Phase.PLACING;
    }

    // ---- hard state

    private void readState() {
        if (!term.isCurrent()) {
            return;
        }
        if (!catalog.isKnown()) {
            kernel.after(times.retryMs(), this::readState);
            return;
        }
        listAll(
                List.of(JobKeys.OPEN, ProgressBitmaps.PREFIX, MachineRecords.PREFIX, MachineRecords.MARK_PREFIX),
                new ArrayList<>());
    }

    private void listAll(List<String> prefixes, List<StoreClient.Listing> listings) {
        if (listings.size() == prefixes.size()) {
            applyState(
                    listings.get(0),
                    listings.get(1).entries(),
                    listings.get(2).entries(),
                    listings.get(3).entries());
            return;
        }
        store.list(prefixes.get(listings.size()), listing -> {
            if (!term.isCurrent()) {
                return;
            }
            if (listing == null) {
                kernel.after(times.retryMs(), this::readState);
                return;
            }
            listings.add(listing);
            listAll(prefixes, listings);
        });
    }

    private void applyState(
            StoreClient.Listing jobs, List<KeyValue> done, List<KeyValue> described, List<KeyValue> marked) {
        for (KeyValue entry : jobs.entries()) {
            OpenJob open = OpenJob.fromRecord(entry.value(), entry.revision());
            // Guards what was cancelled while it was being read.
            if (!knownTerminal.test(open.spec().id())) {
                cluster.add(open);
            }
        }
        progress.load(done, cluster);
        machineRecords.load(described, marked, catalog, kernel.nowMs(), machine -> {
            if (cluster.machine(machine.id()) == null) {
                machine.liveness().boundPreviousLeader(previousLeaderActiveUntil);
                cluster.add(machine);
                silentMachines.add(machine);
            }
        });
        phase = Phase.GATHERING;
        LOG.atInfo()
                .addKeyValue("term", term.fencingToken())
                .addKeyValue("revision", jobs.revision())
                .addKeyValue("read_after_ms", jobs.readAt() - electedAt)
                .addKeyValue("jobs", jobs.entries().size())
                .addKeyValue("machines", cluster.machines().size())
                .log("hard state is read, gathering reports");
        silentMachines.removeIf(machine -> !isSilent(machine));
        silentMachines.forEach(machine -> cluster.unexplainedMachines(machine, true));
        // Until a task is explained it may be on any machine that has not answered yet.
        List.copyOf(cluster.pendingJobs()).stream()
                .filter(this::mayRunOnSilentMachine)
                .forEach(cluster::markUnaccounted);
        agents.beginReconciling();
        store.watch(JobKeys.OPEN, jobs.revision(), jobs.readAt(), openJobs);
        List.copyOf(cluster.jobs()).stream().filter(Job::complete).forEach(progress::completeJob);
        kernel.after(times.contactMs(), this::contactSilent);
        checkProgress();
    }

    // ---- gathering

    private boolean isSilent(Machine machine) {
        return machine.hasRunTasks()
                && !machine.liveness().verified()
                && !machine.removeAllocation()
                && cluster.machine(machine.id()) == machine;
    }

    private void contactSilent() {
        if (!term.isCurrent() || phase != Phase.GATHERING) {
            return;
        }
        silentMachines.stream().filter(this::isSilent).forEach(agents::contact);
        kernel.after(times.contactMs(), this::contactSilent);
    }

    /** Looks who has answered meanwhile, and whether the window can close; called after every batch. */
    public void checkProgress() {
        if (phase == Phase.READING || !term.isCurrent()) {
            return;
        }
        checkPreviousLeadersStopped();
        List<Machine> heard =
                silentMachines.stream().filter(machine -> !isSilent(machine)).toList();
        if (!heard.isEmpty()) {
            heard.forEach(silentMachines::remove);
            heard.forEach(agents::updateUnexplained);
            resolveUnaccounted();
        }
        if (phase == Phase.GATHERING
                && (silentMachines.isEmpty() || kernel.nowMs() - electedAt >= times.gatherWindowMs())) {
            phase = Phase.PLACING;
            kernel.increment("takeover.count", 1);
            kernel.increment("takeover.ms", kernel.nowMs() - electedAt);
            kernel.increment("takeover.silent", silentMachines.size());
            cluster.markChanged();
            LOG.atInfo()
                    .addKeyValue("term", term.fencingToken())
                    .addKeyValue("after_ms", kernel.nowMs() - electedAt)
                    .addKeyValue("silent_machines", silentMachines.size())
                    .addKeyValue(
                            "jobs_with_unaccounted",
                            cluster.jobsWithUnaccountedTasks().size())
                    .log("the window is closed");
        }
    }

    // Every other controller has seen this term, so none of them answers workers any more: the holds
    // of machines that are silent since the takeover count from now at the latest.
    private void checkPreviousLeadersStopped() {
        if (!previousLeadersStopped && peers.allAcknowledgedTerm(term.fencingToken())) {
            previousLeadersStopped = true;
            previousLeaderActiveUntil = Math.min(previousLeaderActiveUntil, kernel.nowMs());
            cluster.machines().forEach(machine -> machine.liveness().boundPreviousLeader(previousLeaderActiveUntil));
        }
    }

    // A job accepted after the term was raised was never started by a former leader.
    private boolean mayRunOn(Job job, Machine machine) {
        return job.open().revision() < term.termRevision()
                && job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                && job.spec().demand().fitsIn(machine.type().size());
    }

    private boolean mayRunOnSilentMachine(Job job) {
        return silentMachines.stream().anyMatch(machine -> mayRunOn(job, machine));
    }

    private void resolveUnaccounted() {
        List.copyOf(cluster.jobsWithUnaccountedTasks()).stream()
                .filter(job -> !mayRunOnSilentMachine(job))
                .forEach(cluster::resolveUnaccounted);
    }

    // ---- silence

    /** Gives up what is on machines that were silent for their hold; called now and then. */
    public void releaseExpiredReservations() {
        if (phase == Phase.READING || !term.isCurrent()) {
            return;
        }
        for (Machine machine : List.copyOf(cluster.machines())) {
            boolean reserved = !machine.removeAllocation() && (!machine.empty() || isSilent(machine));
            if (reserved && kernel.nowMs() - machine.liveness().lastResponseAt() > times.reservationMs()) {
                List<Allocation> lost = machine.allocationsSnapshot().stream()
                        .filter(booking -> !agents.startMayArriveLate(booking))
                        .toList();
                LOG.info("{} was silent for its hold, giving up {} tasks", machine.id(), lost.size());
                kernel.increment("machines.given_up", 1);
                lost.forEach(cluster::release);
                machine.expireReservation();
                if (!machine.empty()) {
                    // A start on its way names the first session, and a machine that is back begins with that
                    // again: those tasks go elsewhere only when the machine is gone for good.
                    machine.drain();
                }
                cluster.markChanged();
            }
        }
    }
}
