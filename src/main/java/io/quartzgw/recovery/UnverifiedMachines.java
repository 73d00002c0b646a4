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
 * The machines that may run tasks of former leaders and whose agents have not sent a current heartbeat to this leader.
 *
 * <p>A task that may have been started and that no current heartbeat has shown is unaccounted for while one of these
 * machines may run it.
 */
final class UnverifiedMachines {
    private final LeaderContext leader;
    private final ClusterState cluster;
    private final PeerExchange peers;
    private final Set<Machine> machines = new LinkedHashSet<>();
    /** The machines that any start of a former leader may be on its way to. */
    private final Set<Machine> machinesWithUnknownStarts = new LinkedHashSet<>();

    private long previousLeaderActiveUntilMs;
    private boolean previousLeadersStopped;

    /** @param previousLeaderActiveUntilMs when a former leader can last respond to a heartbeat */
    UnverifiedMachines(LeaderContext leader, PeerExchange peers, long previousLeaderActiveUntilMs) {
        this.leader = leader;
        this.cluster = leader.cluster();
        this.peers = peers;
        this.previousLeaderActiveUntilMs = previousLeaderActiveUntilMs;
    }

    /** Returns whether a machine may run tasks and is not verified, and its reservation has not expired. */
    static boolean isUnverified(Machine machine, ClusterState cluster) {
        return machine.isUnverified() && cluster.contains(machine);
    }

    private boolean isUnverified(Machine machine) {
        return isUnverified(machine, cluster);
    }

    /** Adds a machine from the stored state to the cluster state. */
    void add(Machine machine) {
        if (cluster.findMachine(machine.id()).isEmpty()) {
            machine.liveness().boundPreviousLeader(previousLeaderActiveUntilMs);
            cluster.add(machine);
            machines.add(machine);
        }
    }

    /** Marks the machines that may run tasks, and the jobs whose tasks may run there. */
    void markUnaccounted() {
        machines.removeIf(machine -> !isUnverified(machine));
        machines.forEach(machine -> cluster.setUnexplained(machine, true));
        List.copyOf(cluster.pendingJobs()).stream().filter(this::mayRunOnAny).forEach(cluster::markUnaccounted);
    }

    /**
     * Handles that the starts of former leaders are not known: each may be on its way to any machine that may run
     * tasks, whether its agent is heard or not.
     */
    void expectUnknownStarts() {
        cluster.machines().stream().filter(Machine::hasRunTasks).forEach(machine -> {
            machine.fencing().expectUnknownStarts();
            machinesWithUnknownStarts.add(machine);
        });
    }

    /** Returns whether starts that are not known may be on their way to any machine. */
    boolean hasUnknownStarts() {
        return !machinesWithUnknownStarts.isEmpty();
    }

    /** Removes the machines that unknown starts can't reach any more, and returns whether there were any. */
    boolean pruneUnknownStarts() {
        return machinesWithUnknownStarts.removeIf(machine -> !cluster.contains(machine));
    }

    /** Performs an action for each machine that is still unverified. */
    void forEachUnverified(Consumer<Machine> action) {
        machines.stream().filter(this::isUnverified).forEach(action);
    }

    /** Removes the machines that have been verified or are gone, and returns them. */
    List<Machine> removeVerified() {
        List<Machine> verified =
                machines.stream().filter(machine -> !isUnverified(machine)).toList();
        verified.forEach(machines::remove);
        return verified;
    }

    /**
     * Marks the jobs that can have no task on the remaining machines as fully accounted for.
     *
     * @param beforeResolution performed before the unaccounted tasks of a job become pending
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
     * Checks whether every other controller has seen this term. Then none of them responds to heartbeats any more, so
     * the reservations of unverified machines count from now at the latest.
     */
    void checkPreviousLeadersStopped() {
        if (!previousLeadersStopped && peers.allAcknowledgedTerm(leader.term().number())) {
            previousLeadersStopped = true;
            previousLeaderActiveUntilMs =
                    Math.min(previousLeaderActiveUntilMs, leader.eventLoop().nowMs());
            cluster.machines().forEach(machine -> machine.liveness().boundPreviousLeader(previousLeaderActiveUntilMs));
        }
    }

    private boolean mayRunOnAny(Job job) {
        return Stream.concat(machines.stream(), machinesWithUnknownStarts.stream())
                .anyMatch(machine -> mayRunOn(job, machine));
    }

    /** A job that was accepted after the term had been raised was never started by a former leader. */
    private boolean mayRunOn(Job job, Machine machine) {
        return job.open().revision() < leader.term().termRevision()
                && job.spec().allows(machine.type().name(), machine.zone(), machine.spot())
                && job.spec().demand().fitsIn(machine.type().size());
    }

    /** Returns how many machines are left. */
    int size() {
        return machines.size();
    }

    /** Returns whether no machine is left. */
    boolean isEmpty() {
        return machines.isEmpty();
    }
}
