package io.quartzgw.recovery;

import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.fleet.MachineTypes;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Peers;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.progress.Packing;
import io.quartzgw.progress.Progress;
import io.quartzgw.store.Entry;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import io.quartzgw.submission.OpenJob;
import io.quartzgw.worker.Workers;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A takeover: reads hard state, gathers reports for a window, then lets the leader place. */
public final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);

    /** How far the takeover is. */
    private enum Stage {
        READING,
        GATHERING,
        PLACING
    }

    private final Kernel kernel;
    private final StoreClient store;
    private final Peers peers;
    private final MachineTypes types;
    private final Cluster cluster;
    private final Workers workers;
    private final Progress progress;
    private final MachineRecords records;
    private final RecoveryTimes times;
    private final LeaderTerm term;
    private final Predicate<String> knownOver;
    private final StoreClient.Follower openJobs;
    private final long electedAt;
    private long formerAnswersUntil;
    private boolean steppedDown;
    private Stage stage = Stage.READING;
    /** Machines that may run something and have not shown this leader's token yet. */
    private final Set<Machine> silent = new LinkedHashSet<>();

    /**
     * @param formerAnswersUntil when a former leader can last answer a report, its grace included
     * @param knownOver whether a job is known to have ended, whatever was read of it
     * @param openJobs follows the open jobs from the revision that they were read at
     */
    public Recovery(
            Kernel kernel,
            StoreClient store,
            LeaderTerm term,
            Peers peers,
            MachineTypes types,
            Cluster cluster,
            Workers workers,
            Progress progress,
            MachineRecords records,
            RecoveryTimes times,
            long formerAnswersUntil,
            Predicate<String> knownOver,
            StoreClient.Follower openJobs) {
        this.kernel = kernel;
        this.store = store;
        this.peers = peers;
        this.types = types;
        this.cluster = cluster;
        this.workers = workers;
        this.progress = progress;
        this.records = records;
        this.times = times;
        this.term = term;
        this.formerAnswersUntil = formerAnswersUntil;
        this.knownOver = knownOver;
        this.openJobs = openJobs;
        this.electedAt = kernel.now();
    }

    public void start() {
        read();
    }

    /** Whether hard state was read: what no silent machine can have may be placed on those that answered. */
    public boolean stateLoaded() {
        return stage != Stage.READING;
    }

    /** Whether the window is over. */
    public boolean placing() {
        return stage == Stage.PLACING;
    }

    // ---- hard state

    private void read() {
        if (!term.current()) {
            return;
        }
        if (!types.known()) {
            kernel.after(times.retryMs(), this::read);
            return;
        }
        listAll(
                List.of(JobKeys.OPEN, Packing.PREFIX, MachineRecords.PREFIX, MachineRecords.MARK_PREFIX),
                new ArrayList<>());
    }

    private void listAll(List<String> prefixes, List<StoreClient.Listing> listings) {
        if (listings.size() == prefixes.size()) {
            loaded(
                    listings.get(0),
                    listings.get(1).entries(),
                    listings.get(2).entries(),
                    listings.get(3).entries());
            return;
        }
        store.list(prefixes.get(listings.size()), listing -> {
            if (!term.current()) {
                return;
            }
            if (listing == null) {
                kernel.after(times.retryMs(), this::read);
                return;
            }
            listings.add(listing);
            listAll(prefixes, listings);
        });
    }

    private void loaded(StoreClient.Listing jobs, List<Entry> done, List<Entry> described, List<Entry> marked) {
        for (Entry entry : jobs.entries()) {
            OpenJob open = OpenJob.fromRecord(entry.value(), entry.revision());
            // Guards what was cancelled while it was being read.
            if (!knownOver.test(open.spec().id())) {
                cluster.add(open);
            }
        }
        progress.load(done, cluster);
        records.load(described, marked, types, kernel.now(), machine -> {
            if (cluster.machine(machine.id()) == null) {
                machine.presence().formerAnswers(formerAnswersUntil);
                cluster.add(machine);
                silent.add(machine);
            }
        });
        stage = Stage.GATHERING;
        LOG.atInfo()
                .addKeyValue("term", term.number())
                .addKeyValue("revision", jobs.revision())
                .addKeyValue("read_after_ms", jobs.at() - electedAt)
                .addKeyValue("jobs", jobs.entries().size())
                .addKeyValue("machines", cluster.machines().size())
                .log("hard state is read, gathering reports");
        silent.removeIf(machine -> !isSilent(machine));
        silent.forEach(machine -> cluster.unexplained(machine, true));
        // Until a task is explained it may be on any machine that has not answered yet.
        List.copyOf(cluster.waitingJobs()).stream().filter(this::mayBeSilent).forEach(cluster::markUnaccounted);
        workers.beginApplying();
        store.follow(JobKeys.OPEN, jobs.revision(), jobs.at(), openJobs);
        List.copyOf(cluster.jobs()).stream().filter(Job::complete).forEach(progress::end);
        kernel.after(times.contactMs(), this::contactSilent);
        check();
    }

    // ---- gathering

    private boolean isSilent(Machine machine) {
        return machine.used()
                && !machine.presence().verified()
                && !machine.released()
                && cluster.machine(machine.id()) == machine;
    }

    private void contactSilent() {
        if (!term.current() || stage != Stage.GATHERING) {
            return;
        }
        silent.stream().filter(this::isSilent).forEach(workers::contact);
        kernel.after(times.contactMs(), this::contactSilent);
    }

    /** Looks who has answered meanwhile, and whether the window can close; called after every batch. */
    public void check() {
        if (stage == Stage.READING || !term.current()) {
            return;
        }
        noteStepDown();
        List<Machine> heard =
                silent.stream().filter(machine -> !isSilent(machine)).toList();
        if (!heard.isEmpty()) {
            heard.forEach(silent::remove);
            heard.forEach(workers::explain);
            settleUnaccounted();
        }
        if (stage == Stage.GATHERING && (silent.isEmpty() || kernel.now() - electedAt >= times.windowMs())) {
            stage = Stage.PLACING;
            kernel.count("takeover.count", 1);
            kernel.count("takeover.ms", kernel.now() - electedAt);
            kernel.count("takeover.silent", silent.size());
            cluster.touch();
            LOG.atInfo()
                    .addKeyValue("term", term.number())
                    .addKeyValue("after_ms", kernel.now() - electedAt)
                    .addKeyValue("silent_machines", silent.size())
                    .addKeyValue(
                            "jobs_with_unaccounted",
                            cluster.jobsWithUnaccounted().size())
                    .log("the window is closed");
        }
    }

    // Every other controller has seen this term, so none of them answers workers any more: the holds
    // of machines that are silent since the takeover count from now at the latest.
    private void noteStepDown() {
        if (!steppedDown && peers.allSteppedDownBelow(term.number())) {
            steppedDown = true;
            formerAnswersUntil = Math.min(formerAnswersUntil, kernel.now());
            cluster.machines().forEach(machine -> machine.presence().formerAnswers(formerAnswersUntil));
        }
    }

    // A job accepted after the term was raised was never started by a former leader.
    private boolean mayHold(Job job, Machine machine) {
        return job.open().revision() < term.revision()
                && job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                && job.spec().demand().fitsIn(machine.type().size());
    }

    private boolean mayBeSilent(Job job) {
        return silent.stream().anyMatch(machine -> mayHold(job, machine));
    }

    private void settleUnaccounted() {
        List.copyOf(cluster.jobsWithUnaccounted()).stream()
                .filter(job -> !mayBeSilent(job))
                .forEach(cluster::resolveUnaccounted);
    }

    // ---- silence

    /** Gives up what is on machines that were silent for their hold; called now and then. */
    public void releaseExpired() {
        if (stage == Stage.READING || !term.current()) {
            return;
        }
        for (Machine machine : List.copyOf(cluster.machines())) {
            boolean held = !machine.released() && (!machine.empty() || isSilent(machine));
            if (held && kernel.now() - machine.presence().lastAnswered() > times.silentMs()) {
                List<Booking> over = machine.bookingsCopy().stream()
                        .filter(booking -> !workers.startMayArriveLate(booking))
                        .toList();
                LOG.info("{} was silent for its hold, giving up {} tasks", machine.id(), over.size());
                kernel.count("machines.given_up", 1);
                over.forEach(cluster::release);
                machine.holdExpired();
                if (!machine.empty()) {
                    // A start on its way names the first session, and a machine that is back begins with that
                    // again: those tasks go elsewhere only when the machine is gone for good.
                    machine.leave();
                }
                cluster.touch();
            }
        }
    }
}
