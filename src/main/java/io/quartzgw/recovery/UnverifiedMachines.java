package io.quartzgw.recovery;

import io.quartzgw.agent.LeaderContext;
import io.quartzgw.leadership.PeerExchange;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The machines that may run tasks of previous leaders and whose agents have not sent a current heartbeat to this
 * leader.
 *
 * <p>A task that may have been started, but that no current heartbeat reports, is unaccounted for as long as any of
 * these machines may be running it.
 */
final class UnverifiedMachines {
    private final LeaderContext leader;
    private final ClusterState cluster;
    private final PeerExchange peers;
    private final Set<Machine> machines = new LinkedHashSet<>();
    /** The machines that may still receive a start of a previous leader whose log entry can't be read. */
    private final Set<Machine> machinesWithUnknownStarts = new LinkedHashSet<>();

    private long previousLeaderActiveUntilMs;
    private boolean previousLeadersStopped;

    /** @param previousLeaderActiveUntilMs the latest time at which a previous leader may respond to a heartbeat */
    UnverifiedMachines(LeaderContext leader, PeerExchange peers, long previousLeaderActiveUntilMs) {
        this.leader = leader;
        this.cluster = leader.cluster();
        this.peers = peers;
        this.previousLeaderActiveUntilMs = previousLeaderActiveUntilMs;
    }

    /** Returns whether a machine is in the cluster, may run tasks, is not verified and has an unexpired reservation. */
    static boolean isUnverified(Machine machine, ClusterState cluster) {
        return machine.isUnverified() && cluster.contains(machine);
    }

    private boolean isUnverified(Machine machine) {
        return isUnverified(machine, cluster);
    }

    /** Adds a machine from the stored state to the cluster state. */
    void add(Machine machine) {
        if (cluster.findMachine(machine.id()).isEmpty()) {
            machine.liveness().boundPreviousLeaderActivity(previousLeaderActiveUntilMs);
            cluster.add(machine);
            machines.add(machine);
        }
    }

    /** Marks the unverified machines as possibly running orphans, and the tasks that may run there as unaccounted. */
    void markUnaccounted() {
        machines.removeIf(machine -> !isUnverified(machine));
        machines.forEach(machine -> cluster.setMayRunOrphans(machine, true));
        List.copyOf(cluster.pendingJobs()).stream().filter(this::mayRunOnAny).forEach(cluster::markUnaccounted);
    }

    /**
     * Marks every machine that may run tasks as a possible target of unknown starts. To be called when logged starts of
     * previous leaders can't be read. Such a start may still reach any of these machines, even if its agent sends
     * heartbeats.
     */
    void markUnknownStartsPossible() {
        cluster.machines().stream().filter(Machine::hasRunTasks).forEach(machine -> {
            machine.fencing().markUnknownStartsPossible();
            machinesWithUnknownStarts.add(machine);
        });
    }

    /** Returns whether unknown starts may still be outstanding on any machine. */
    boolean hasUnknownStarts() {
        return !machinesWithUnknownStarts.isEmpty();
    }

    /** Drops the unknown starts of machines that have left the cluster, and returns whether there were any. */
    boolean pruneUnknownStarts() {
        return machinesWithUnknownStarts.removeIf(machine -> !cluster.contains(machine));
    }

    /** Runs an action for each machine that is still unverified. */
    void forEachUnverified(Consumer<Machine> action) {
        machines.stream().filter(this::isUnverified).forEach(action);
    }

    /** Removes and returns the machines that are verified, have left the cluster or have an expired reservation. */
    List<Machine> removeVerified() {
        List<Machine> verified =
                machines.stream().filter(machine -> !isUnverified(machine)).toList();
        verified.forEach(machines::remove);
        return verified;
    }

    /**
     * Makes the unaccounted tasks of those jobs pending that can have no task on the remaining machines.
     *
     * @param beforeResolution called for each of these jobs before its unaccounted tasks become pending
     */
    void resolveUnaccounted(Consumer<Job> beforeResolution) {
        List.copyOf(cluster.jobsWithUnaccountedTasks()).stream()
                .filter(job -> !mayRunOnAny(job))
                .forEach(job -> {
                    beforeResolution.accept(job);
                    cluster.resolveUnaccounted(job);
                });
    }

    /**
     * Checks whether every other controller has observed this term. Once they all have, none of them responds to
     * heartbeats as leader, so the reservations of unverified machines start to run no later than now.
     */
    void checkPreviousLeadersStopped() {
        if (!previousLeadersStopped && peers.allAcknowledgedTerm(leader.term().number())) {
            previousLeadersStopped = true;
            previousLeaderActiveUntilMs =
                    Math.min(previousLeaderActiveUntilMs, leader.eventLoop().nowMs());
            cluster.machines()
                    .forEach(machine -> machine.liveness().boundPreviousLeaderActivity(previousLeaderActiveUntilMs));
        }
    }

    private boolean mayRunOnAny(Job job) {
        return Stream.concat(machines.stream(), machinesWithUnknownStarts.stream())
                .anyMatch(machine -> mayRunOn(job, machine));
    }

    /** Jobs accepted after the term was raised are excluded: no previous leader can have started their tasks. */
    private boolean mayRunOn(Job job, Machine machine) {
        return job.open().revision() < leader.term().termRevision()
                && job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                && job.spec().demand().fitsIn(machine.type().size());
    }

    /** Returns the number of machines that are still tracked as unverified. */
    int size() {
        return machines.size();
    }

    /** Returns whether no machine is tracked as unverified. */
    boolean isEmpty() {
        return machines.isEmpty();
    }
}
