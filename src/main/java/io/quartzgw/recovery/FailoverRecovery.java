package io.quartzgw.recovery;

import io.quartzgw.agent.AgentManager;
import io.quartzgw.agent.LeaderContext;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.progress.ProgressRecorder;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.startlog.LoadedStarts;
import io.quartzgw.startlog.StartLog;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.JobRecordCodec;
import io.quartzgw.submission.OpenJob;
import java.util.List;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rebuilds the cluster state of a new leader. It reads the stored state, gathers heartbeats for a limited time, and
 * releases the reservations of machines that stay unresponsive.
 */
public final class FailoverRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverRecovery.class);

    /** The phases of the recovery, in this order. */
    private enum Phase {
        LOADING_STATE,
        GATHERING_HEARTBEATS,
        RECOVERED
    }

    private final LeaderContext leader;
    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final Collaborators collaborators;
    private final RecoveryTiming timing;
    private final Predicate<String> isKnownTerminal;
    private final StoreClient.Watcher openJobWatcher;
    private final UnverifiedMachines unverifiedMachines;
    private final ReservationExpiry reservationExpiry;
    private final long electedAtMs;
    private boolean unaccountedCheckDue = true;
    private Phase phase = Phase.LOADING_STATE;

    /**
     * The components that the recovery uses.
     *
     * @param store the state service
     * @param peers reports whether the other controllers have observed this term
     * @param agents tracks the tasks on agents and contacts agents
     * @param progress loads which tasks have completed or may have been started
     * @param machineRecords loads the rented machines
     * @param startLog lists the starts of previous leaders that direct calls may still deliver
     */
    public record Collaborators(
            StoreClient store,
            PeerExchange peers,
            AgentManager agents,
            ProgressRecorder progress,
            MachineRecords machineRecords,
            StartLog startLog) {}

    /**
     * Creates the recovery of the current term.
     *
     * @param previousLeaderActiveUntilMs the latest time at which a previous leader may respond to a heartbeat, with
     *     its grace period included
     * @param isKnownTerminal tests whether a job is known to have ended, even if the stored state lists it as open
     * @param openJobWatcher watches the open jobs from the revision at which they were read
     */
    public FailoverRecovery(
            LeaderContext leader,
            Collaborators collaborators,
            RecoveryTiming timing,
            long previousLeaderActiveUntilMs,
            Predicate<String> isKnownTerminal,
            StoreClient.Watcher openJobWatcher) {
        this.leader = leader;
        this.eventLoop = leader.eventLoop();
        this.cluster = leader.cluster();
        this.collaborators = collaborators;
        this.timing = timing;
        this.isKnownTerminal = isKnownTerminal;
        this.openJobWatcher = openJobWatcher;
        this.unverifiedMachines = new UnverifiedMachines(leader, collaborators.peers(), previousLeaderActiveUntilMs);
        this.reservationExpiry = new ReservationExpiry(leader, collaborators.agents(), timing.reservationMs());
        this.electedAtMs = eventLoop.nowMs();
    }

    /** Starts reading the stored state. */
    public void start() {
        new StateLoader(leader, collaborators.store(), timing.retryDelayMs(), this::onStateLoaded).load();
    }

    /** Returns whether the stored state has been read. From then on verified machines may receive tasks. */
    public boolean isStateLoaded() {
        return phase != Phase.LOADING_STATE;
    }

    /** Returns whether the window for gathering heartbeats has closed. */
    public boolean isRecoveryWindowClosed() {
        return phase == Phase.RECOVERED;
    }

    // ---- stored state

    private void onStateLoaded(StoredState state) {
        loadIntoCluster(state);
        phase = Phase.GATHERING_HEARTBEATS;
        LOG.atInfo()
                .addKeyValue("term", leader.term().number())
                .addKeyValue("revision", state.openJobs().revision())
                .addKeyValue("read_after_ms", state.openJobs().readAtMs() - electedAtMs)
                .addKeyValue("jobs", state.openJobs().entries().size())
                .addKeyValue("machines", cluster.machines().size())
                .log("stored state loaded");
        unverifiedMachines.markUnaccounted();
        inheritStarts(collaborators.startLog().load(state.startLog()));
        collaborators.agents().beginReconciling();
        collaborators
                .store()
                .watch(
                        JobKeys.OPEN_PREFIX,
                        state.openJobs().revision(),
                        state.openJobs().readAtMs(),
                        openJobWatcher);
        List.copyOf(cluster.jobs()).stream().filter(Job::isComplete).forEach(collaborators.progress()::completeJob);
        eventLoop.after(timing.contactIntervalMs(), this::contactUnverified);
        checkProgress();
    }

    private void loadIntoCluster(StoredState state) {
        for (KeyValue entry : state.openJobs().entries()) {
            OpenJob job = JobRecordCodec.decodeOpen(entry.value(), entry.revision());
            // The job may have been cancelled while the open jobs were being read.
            if (!isKnownTerminal.test(job.spec().id())) {
                cluster.add(job);
            }
        }
        collaborators.progress().load(state.progress(), cluster);
        collaborators
                .machineRecords()
                .load(
                        state.machines(),
                        state.usedMachines(),
                        leader.machineTypes(),
                        eventLoop.nowMs(),
                        unverifiedMachines::add);
    }

    // ---- starts of previous leaders

    private void inheritStarts(LoadedStarts loadedStarts) {
        if (loadedStarts.unreadablePages() > 0) {
            eventLoop.increment("takeover.starts_unknown", 1);
            unverifiedMachines.markUnknownStartsPossible();
            dropUnreadablePagesIfObsolete();
        }
        int inherited = collaborators.agents().inheritStarts(loadedStarts.machines());
        eventLoop.increment("takeover.starts_inherited", inherited);
        LOG.atInfo()
                .addKeyValue("term", leader.term().number())
                .addKeyValue("after_ms", eventLoop.nowMs() - electedAtMs)
                .addKeyValue("machines", loadedStarts.machines().size())
                .addKeyValue("starts", loadedStarts.count())
                .addKeyValue("inherited", inherited)
                .addKeyValue("unreadable_pages", loadedStarts.unreadablePages())
                .log("starts of previous leaders loaded");
    }

    // ---- heartbeats

    private void contactUnverified() {
        if (!leader.term().isCurrent() || phase != Phase.GATHERING_HEARTBEATS) {
            return;
        }
        unverifiedMachines.forEachUnverified(collaborators.agents()::contact);
        eventLoop.after(timing.contactIntervalMs(), this::contactUnverified);
    }

    /** Accounts for machines verified since the previous check. Called after every event loop batch. */
    public void checkProgress() {
        if (phase == Phase.LOADING_STATE || !leader.term().isCurrent()) {
            return;
        }
        unverifiedMachines.checkPreviousLeadersStopped();
        List<Machine> verified = unverifiedMachines.removeVerified();
        if (!verified.isEmpty()) {
            verified.forEach(collaborators.agents()::updateOrphanCapacity);
            unaccountedCheckDue = true;
        }
        pruneUnknownStarts();
        if (unaccountedCheckDue) {
            unaccountedCheckDue = false;
            unverifiedMachines.resolveUnaccounted(collaborators.agents()::allocateInheritedStarts);
        }
        if (phase == Phase.GATHERING_HEARTBEATS && (unverifiedMachines.isEmpty() || isWindowElapsed())) {
            closeWindow();
        }
    }

    private void pruneUnknownStarts() {
        if (unverifiedMachines.pruneUnknownStarts()) {
            unaccountedCheckDue = true;
            dropUnreadablePagesIfObsolete();
        }
    }

    private void dropUnreadablePagesIfObsolete() {
        if (!unverifiedMachines.hasUnknownStarts()) {
            collaborators.startLog().resetUnreadablePages();
        }
    }

    private boolean isWindowElapsed() {
        return eventLoop.nowMs() - electedAtMs >= timing.gatherWindowMs();
    }

    private void closeWindow() {
        phase = Phase.RECOVERED;
        long elapsedMs = eventLoop.nowMs() - electedAtMs;
        eventLoop.increment("takeover.count", 1);
        eventLoop.increment("takeover.ms", elapsedMs);
        eventLoop.increment("takeover.silent", unverifiedMachines.size());
        cluster.markChanged();
        LOG.atInfo()
                .addKeyValue("term", leader.term().number())
                .addKeyValue("elapsed_ms", elapsedMs)
                .addKeyValue("unverified_machines", unverifiedMachines.size())
                .addKeyValue(
                        "jobs_with_unaccounted_tasks",
                        cluster.jobsWithUnaccountedTasks().size())
                .log("recovery window closed");
    }

    // ---- reservations

    /** Releases the expired reservations of unresponsive machines. Called periodically. */
    public void releaseExpiredReservations() {
        if (phase != Phase.LOADING_STATE && leader.term().isCurrent()) {
            reservationExpiry.releaseExpired();
        }
    }
}
