package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import java.util.Optional;

/** Maps between the attempts in heartbeats and commands and the jobs and allocations of the cluster state. */
final class Attempts {
    private Attempts() {}

    /** Returns the attempt that an allocation is for. */
    static Attempt of(Allocation allocation) {
        return new Attempt(allocation.job().id(), allocation.index(), allocation.attempt());
    }

    /** Returns the open job that an attempt belongs to, or empty if the job has ended or has no such task. */
    static Optional<Job> openJob(Attempt attempt, ClusterState cluster) {
        return cluster.findJob(attempt.job())
                .filter(candidate -> !candidate.isTerminal())
                .filter(candidate -> attempt.index() >= 0
                        && attempt.index() < candidate.spec().tasks());
    }
}
