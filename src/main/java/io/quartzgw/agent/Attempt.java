package io.quartzgw.agent;

import io.quartzgw.replication.ReplicatedStart;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import java.util.Optional;

/**
 * Identifies one execution of a task. The members of a gang share an attempt number, so the task is part of the
 * identity.
 *
 * @param job the job's ID
 * @param index the task's index in the job
 * @param number the attempt number
 */
public record Attempt(String job, int index, long number) {

    /** Returns the attempt that an allocation is for. */
    static Attempt of(Allocation allocation) {
        return new Attempt(allocation.job().id(), allocation.index(), allocation.attempt());
    }

    /** Returns the attempt of a start that another controller has replicated. */
    static Attempt of(ReplicatedStart start) {
        return new Attempt(start.job(), start.index(), start.attempt());
    }

    /** Returns the start of the attempt, as it is replicated to the other controllers. */
    ReplicatedStart toReplicatedStart() {
        return new ReplicatedStart(job, index, number);
    }

    /** Returns the name of the task. */
    public String task() {
        return job + "/" + index;
    }

    /** Returns the open job that the attempt belongs to, or empty if the job has ended or has no such task. */
    Optional<Job> openJob(ClusterState cluster) {
        return cluster.findJob(job)
                .filter(candidate -> !candidate.isTerminal())
                .filter(candidate -> index >= 0 && index < candidate.spec().tasks());
    }
}
